//! Memory of leases.

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

/// Bytes before the tokens of an exported KV cache: its state and its number of tokens.
const HEADER: usize = 16;

/// Answers `GET /kv`.
pub(super) async fn allocations(State(engine): State<Arc<Engine>>) -> Json<AllocationList> {
    Json(AllocationList { allocations: engine.allocations() })
}

/// Answers `PUT /kv/{lease}`.
pub(super) async fn allocate(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
    Json(allocate): Json<AllocateRequest>,
) -> Result<StatusCode, EngineError> {
    engine.change(|core| core.memory.allocate(lease, allocate.tokens))?;
    Ok(StatusCode::NO_CONTENT)
}

/// Answers `DELETE /kv/{lease}`.
pub(super) async fn free(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
) -> Result<StatusCode, EngineError> {
    engine.change(|core| core.free(lease))?;
    Ok(StatusCode::NO_CONTENT)
}

/// Answers `GET /kv/{lease}/export`.
pub(super) async fn export(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
) -> Result<Vec<u8>, EngineError> {
    let memory = engine.read(|core| core.memory.lease(lease))?;
    Ok(encode(memory))
}

/// Answers `PUT /kv/{lease}/import`.
pub(super) async fn import(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
    bytes: Bytes,
) -> Result<Json<PrefillResponse>, EngineError> {
    let (state, filled) = decode(&bytes).ok_or(EngineError::MalformedCache)?;
    engine.change(|core| core.memory.fill(lease, filled, state))?;
    Ok(Json(PrefillResponse { state: format_state(state) }))
}

/// Returns the KV cache of a lease, with one byte for each token.
fn encode(memory: LeasedMemory) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&memory.state.to_be_bytes());
    bytes.extend_from_slice(&memory.filled.to_be_bytes());
    bytes.resize(HEADER + memory.filled as usize, memory.state as u8);
    bytes
}

/// Returns the state and the number of tokens of an exported KV cache.
fn decode(bytes: &[u8]) -> Option<(u64, Tokens)> {
    let (state, rest) = bytes.split_first_chunk()?;
    let (filled, rest) = rest.split_first_chunk()?;
    let filled = u64::from_be_bytes(*filled);
    (rest.len() as u64 == filled).then_some((u64::from_be_bytes(*state), filled))
}
