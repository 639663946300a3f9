//! Handlers that allocate, free, export and import the KV cache of leases.

use crate::engine::{Engine, EngineError, memory::LeasedMemory, text::format_state};
use axum::{
    Json,
    body::Bytes,
    extract::{Path, State},
    http::StatusCode,
};
use fulmarhead_lib::ids::{LeaseId, Tokens};
use fulmarhead_runtime::platform::engine::{AllocateRequest, AllocationList, PrefillResponse};
use std::sync::Arc;

/// Length of the header of an exported KV cache, in bytes: hash state and number of tokens, as
/// big-endian 64-bit integers.
const HEADER_BYTES: usize = 16;

/// Handles `GET /kv`.
pub(super) async fn allocations(State(engine): State<Arc<Engine>>) -> Json<AllocationList> {
    Json(AllocationList { allocations: engine.allocations() })
}

/// Handles `PUT /kv/{lease}`.
pub(super) async fn allocate(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
    Json(allocate): Json<AllocateRequest>,
) -> Result<StatusCode, EngineError> {
    engine.change(|state| state.memory.allocate(lease, allocate.tokens))?;
    Ok(StatusCode::NO_CONTENT)
}

/// Handles `DELETE /kv/{lease}`.
pub(super) async fn free(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
) -> Result<StatusCode, EngineError> {
    engine.change(|state| state.free(lease))?;
    Ok(StatusCode::NO_CONTENT)
}

/// Handles `GET /kv/{lease}/export`.
pub(super) async fn export(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
) -> Result<Vec<u8>, EngineError> {
    let memory = engine.read(|state| state.memory.lease(lease))?;
    Ok(encode(memory))
}

/// Handles `PUT /kv/{lease}/import`.
pub(super) async fn import(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
    bytes: Bytes,
) -> Result<Json<PrefillResponse>, EngineError> {
    let (prompt_state, prefilled) = decode(&bytes).ok_or(EngineError::MalformedCache)?;
    engine.change(|state| state.memory.record_prefill(lease, prefilled, prompt_state))?;
    Ok(Json(PrefillResponse { state: format_state(prompt_state) }))
}

/// Encodes the KV cache of a lease: the header, then one byte for each token.
fn encode(memory: LeasedMemory) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&memory.state.to_be_bytes());
    bytes.extend_from_slice(&memory.prefilled.to_be_bytes());
    bytes.resize(HEADER_BYTES + memory.prefilled as usize, memory.state as u8);
    bytes
}

/// Decodes the hash state and the number of tokens of an exported KV cache.
///
/// Returns `None` if the header is incomplete or the length does not match it.
fn decode(bytes: &[u8]) -> Option<(u64, Tokens)> {
    let (state, rest) = bytes.split_first_chunk()?;
    let (prefilled, rest) = rest.split_first_chunk()?;
    let prefilled = u64::from_be_bytes(*prefilled);
    (rest.len() as u64 == prefilled).then_some((u64::from_be_bytes(*state), prefilled))
}
