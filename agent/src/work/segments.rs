//! Segments of prompts that several engines hold together.

use super::{
    completions::{EngineCall, admit, run},
    refuse::Refused,
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

/// Answers `POST /work/kv/{lease}/prefill`.
pub(crate) async fn prefill(
    State(agent): State<Arc<Agent>>,
    Path(lease): Path<LeaseId>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, Refused> {
    let work = WorkHeaders::from_headers(&headers)?;
    let now = agent.clock.now();
    let deadline = Deadline::after(now, work.remaining);
    let permit = admit(&agent, &work)?;
    let tokens = agent.core().leases.tokens(lease, now);
    let tokens = tokens.ok_or(Refusal::not_run(Reason::LeaseExpired))?;
    if agent.engine.allocate(lease, tokens).await.is_err() {
        return Err(Refusal::not_run(Reason::NoMemory).into());
    }
    let path = format!("/kv/{lease}/prefill");
    let endpoint = Endpoint::new(agent.settings.target_address, path);
    run(&agent, &work, permit, EngineCall { method: Method::POST, endpoint, body }, deadline).await
}
