//! HTTP interface of an engine.

mod answer;
mod kv;
mod reader;
mod status;
mod streams;

use super::shared::Engine;
use axum::{
    Router,
    extract::{DefaultBodyLimit, Request, State},
    middleware::{Next, from_fn_with_state},
    response::{IntoResponse, Response},
    routing::{get, post, put},
};
use std::sync::Arc;

/// Largest body, in bytes.
const MAX_BODY: usize = 16 << 20;

impl Engine {
    /// Returns the routes of the engine; those under `/debug` are for tests.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/completions", post(streams::complete))
            .route("/v1/streams/{request}", get(streams::resume).delete(streams::cancel))
            .route("/load", get(status::load))
            .route("/kv", get(kv::allocations))
            .route("/kv/{lease}", put(kv::allocate).delete(kv::free))
            .route("/kv/{lease}/prefill", post(streams::prefill))
            .route("/kv/{lease}/export", get(kv::export))
            .route("/kv/{lease}/import", put(kv::import))
            .route("/cache/events", get(status::events))
            .route("/orders", post(status::order))
            .route("/debug/cold", post(status::turn_cold))
            .route("/debug/restart", post(status::restart))
            .layer(from_fn_with_state(Arc::clone(self), break_while_down))
            .layer(DefaultBodyLimit::max(MAX_BODY))
            .with_state(Arc::clone(self))
    }
}

/// Breaks all connections while the engine restarts.
async fn break_while_down(
    State(engine): State<Arc<Engine>>,
    request: Request,
    next: Next,
) -> Response {
    if engine.read(|core| core.is_down()) {
        return super::EngineError::Restarted.into_response();
    }
    next.run(request).await
}
