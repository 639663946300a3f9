//! Load, cache events, orders and the calls for tests.

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

/// Query of `GET /cache/events`.
#[derive(Debug, Deserialize)]
pub(super) struct After {
    #[serde(default)]
    after: u64,
}

/// Answers `GET /load`.
pub(super) async fn load(State(engine): State<Arc<Engine>>) -> Json<EngineLoad> {
    Json(engine.load())
}

/// Answers `GET /cache/events`.
pub(super) async fn events(
    State(engine): State<Arc<Engine>>,
    Query(query): Query<After>,
) -> Json<CacheEvents> {
    Json(engine.read(|core| core.memory.cache.events.after(query.after)))
}

/// Answers `POST /orders`.
pub(super) async fn order(
    State(engine): State<Arc<Engine>>,
    Json(request): Json<OrderRequest>,
) -> Result<StatusCode, EngineError> {
    engine.change(|core| core.models.order(request, core.now))?;
    Ok(StatusCode::ACCEPTED)
}

/// Answers `POST /debug/cold`.
pub(super) async fn turn_cold(State(engine): State<Arc<Engine>>) -> StatusCode {
    engine.turn_cold();
    StatusCode::NO_CONTENT
}

/// Answers `POST /debug/restart`.
pub(super) async fn restart(State(engine): State<Arc<Engine>>) -> StatusCode {
    engine.restart();
    StatusCode::NO_CONTENT
}
