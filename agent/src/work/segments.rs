//! Prefill of segments of prompts that are distributed over several engines.

use super::{
    completions::{EngineCall, admit, call_engine},
    refuse::RefusalResponse,
};
use crate::agent::Agent;
use axum::{
    body::Bytes,
    extract::{Path, State},
    http::{HeaderMap, Method},
    response::Response,
};
use fulmarhead_lib::{
    ids::LeaseId,
    outcome::{Reason, Refusal},
    request::Deadline,
};
use fulmarhead_runtime::{http::Endpoint, work::WorkHeaders};
use std::sync::Arc;

/// Handles `POST /work/kv/{lease}/prefill`.
///
/// Allocates the memory of the lease at the engine before the engine computes the segment.
pub(crate) async fn prefill(
    State(agent): State<Arc<Agent>>,
    Path(lease): Path<LeaseId>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, RefusalResponse> {
    let work = WorkHeaders::from_headers(&headers)?;
    let now = agent.clock.now();
    let deadline = Deadline::after(now, work.remaining);
    let permit = admit(&agent, &work)?;
    let tokens = agent.state().leases.tokens(lease, now);
    let tokens = tokens.ok_or(Refusal::not_run(Reason::LeaseExpired))?;
    if agent.engine.allocate(lease, tokens).await.is_err() {
        return Err(Refusal::not_run(Reason::NoMemory).into());
    }
    let path = format!("/kv/{lease}/prefill");
    let endpoint = Endpoint::new(agent.settings.target_address, path);
    call_engine(
        &agent,
        &work,
        permit,
        EngineCall { method: Method::POST, endpoint, body },
        deadline,
    )
    .await
}
