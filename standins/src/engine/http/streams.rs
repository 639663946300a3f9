//! Handlers that start, resume and cancel streams.

use super::reader::Reader;
use crate::engine::{
    EngineError,
    admission::StreamHandle,
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

/// Query parameters of `GET /v1/streams/{request}`.
#[derive(Debug, Deserialize)]
pub(super) struct ResumeQuery {
    #[serde(default)]
    from: Position,
}

/// Handles `POST /v1/completions`.
pub(super) async fn complete(
    State(engine): State<Arc<Engine>>,
    Json(call): Json<CompletionRequest>,
) -> Result<Response, EngineError> {
    if engine.read(|state| state.settings.crashes_at(&call.prompt)) {
        engine.restart();
        return Err(EngineError::Restarted);
    }
    let prompt = Prompt::read(&call.prompt, call.previous.as_deref());
    let handle = engine.change(|state| state.start_completion(&call, prompt))?;
    Ok(Sse::new(Reader::new(engine, handle, call.position).into_events()).into_response())
}

/// Handles `GET /v1/streams/{request}`.
pub(super) async fn resume(
    State(engine): State<Arc<Engine>>,
    Path(request): Path<RequestId>,
    Query(query): Query<ResumeQuery>,
) -> Result<Response, EngineError> {
    let handle = engine.change(|state| state.resume(request))?;
    Ok(Sse::new(Reader::new(engine, handle, query.from).into_events()).into_response())
}

/// Handles `DELETE /v1/streams/{request}`.
pub(super) async fn cancel(
    State(engine): State<Arc<Engine>>,
    Path(request): Path<RequestId>,
) -> Result<StatusCode, EngineError> {
    match engine.change(|state| state.cancel(request)) {
        true => Ok(StatusCode::NO_CONTENT),
        false => Err(EngineError::UnknownStream),
    }
}

/// Handles `POST /kv/{lease}/prefill`.
pub(super) async fn prefill(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
    Json(segment): Json<PrefillRequest>,
) -> Result<Json<PrefillResponse>, EngineError> {
    let prompt = Prompt::read(&segment.prompt, segment.previous.as_deref());
    let handle = engine.change(|state| state.start_prefill(lease, &segment, &prompt))?;
    let call = PrefillCall { engine, handle };
    // The stream of a segment ends with its prefill; if it was removed, the connection is aborted.
    call.engine.wait(handle, 0).await.map_err(|_| EngineError::Restarted)?;
    call.engine.change(|state| state.memory.record_prefill(lease, prompt.tokens, prompt.state))?;
    Ok(Json(PrefillResponse { state: format_state(prompt.state) }))
}

/// Prefill of a segment; dropping it, as a lost connection does, cancels its stream.
struct PrefillCall {
    engine: Arc<Engine>,
    handle: StreamHandle,
}

impl Drop for PrefillCall {
    fn drop(&mut self) {
        self.engine.change(|state| state.cancel_call(self.handle));
    }
}
