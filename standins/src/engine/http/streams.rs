//! Calls that enter the batch, and their streams.

use super::reader::Reader;
use crate::engine::{
    EngineError,
    admit::Place,
    shared::Engine,
    text::{Prompt, format_state},
};
use axum::{
    Json,
    extract::{Path, Query, State},
    http::StatusCode,
    response::{IntoResponse, Response, Sse},
};
use fulmarhead_lib::ids::{LeaseId, Position, RequestId};
use fulmarhead_runtime::platform::engine::{CompletionRequest, PrefillRequest, PrefillResponse};
use serde::Deserialize;
use std::sync::Arc;

/// Query of `GET /v1/streams/{request}`.
#[derive(Debug, Deserialize)]
pub(super) struct From {
    #[serde(default)]
    from: Position,
}

/// Answers `POST /v1/completions`.
pub(super) async fn complete(
    State(engine): State<Arc<Engine>>,
    Json(call): Json<CompletionRequest>,
) -> Result<Response, EngineError> {
    let prompt = Prompt::read(&call.prompt, call.previous.as_deref());
    let place = engine.change(|core| core.complete(&call, prompt))?;
    Ok(Sse::new(Reader::new(engine, place, call.position).into_events()).into_response())
}

/// Answers `GET /v1/streams/{request}`.
pub(super) async fn resume(
    State(engine): State<Arc<Engine>>,
    Path(request): Path<RequestId>,
    Query(query): Query<From>,
) -> Result<Response, EngineError> {
    let place = engine.change(|core| core.resume(request))?;
    Ok(Sse::new(Reader::new(engine, place, query.from).into_events()).into_response())
}

/// Answers `DELETE /v1/streams/{request}`.
pub(super) async fn cancel(
    State(engine): State<Arc<Engine>>,
    Path(request): Path<RequestId>,
) -> Result<StatusCode, EngineError> {
    match engine.change(|core| core.cancel(request)) {
        true => Ok(StatusCode::NO_CONTENT),
        false => Err(EngineError::UnknownStream),
    }
}

/// Answers `POST /kv/{lease}/prefill`.
pub(super) async fn prefill(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
    Json(segment): Json<PrefillRequest>,
) -> Result<Json<PrefillResponse>, EngineError> {
    let prompt = Prompt::read(&segment.prompt, segment.previous.as_deref());
    let place = engine.change(|core| core.prefill(lease, &segment, &prompt))?;
    let call = SegmentCall { engine, place };
    // A segment ends with its prefill; a stream that is gone breaks the connection.
    call.engine.wait(place, 0).await.map_err(|_| EngineError::Restarted)?;
    call.engine.change(|core| core.memory.fill(lease, prompt.tokens, prompt.state))?;
    Ok(Json(PrefillResponse { state: format_state(prompt.state) }))
}

/// A segment whose caller waits; it is cancelled with the call.
struct SegmentCall {
    engine: Arc<Engine>,
    place: Place,
}

impl Drop for SegmentCall {
    fn drop(&mut self) {
        self.engine.change(|core| core.withdraw(self.place));
    }
}
