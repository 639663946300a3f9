//! Handlers for load, cache events, orders and fault injection.

use crate::engine::{CacheEvents, Engine, EngineError};
use axum::{
    Json,
    extract::{Query, State},
    http::StatusCode,
};
use fulmarhead_lib::release::OrderRequest;
use fulmarhead_runtime::platform::engine::EngineLoad;
use serde::Deserialize;
use std::sync::Arc;

/// Query parameters of `GET /cache/events`.
#[derive(Debug, Deserialize)]
pub(super) struct EventsQuery {
    #[serde(default)]
    after: u64,
}

/// Handles `GET /load`.
pub(super) async fn load(State(engine): State<Arc<Engine>>) -> Json<EngineLoad> {
    Json(engine.load())
}

/// Handles `GET /cache/events`.
pub(super) async fn events(
    State(engine): State<Arc<Engine>>,
    Query(query): Query<EventsQuery>,
) -> Json<CacheEvents> {
    Json(engine.read(|state| state.memory.cache.events.after(query.after)))
}

/// Handles `POST /orders`.
pub(super) async fn order(
    State(engine): State<Arc<Engine>>,
    Json(request): Json<OrderRequest>,
) -> Result<StatusCode, EngineError> {
    engine.change(|state| state.models.queue_order(request, state.now))?;
    Ok(StatusCode::ACCEPTED)
}

/// Handles `POST /debug/cold`.
pub(super) async fn reset_warmup(State(engine): State<Arc<Engine>>) -> StatusCode {
    engine.reset_warmup();
    StatusCode::NO_CONTENT
}

/// Handles `POST /debug/restart`.
pub(super) async fn restart(State(engine): State<Arc<Engine>>) -> StatusCode {
    engine.restart();
    StatusCode::NO_CONTENT
}
