//! HTTP interface of the engine.

mod error;
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

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

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
            .route("/debug/cold", post(status::reset_warmup))
            .route("/debug/restart", post(status::restart))
            .layer(from_fn_with_state(Arc::clone(self), abort_while_restarting))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(Arc::clone(self))
    }
}

/// Aborts all connections while the engine restarts.
async fn abort_while_restarting(
    State(engine): State<Arc<Engine>>,
    request: Request,
    next: Next,
) -> Response {
    if engine.read(|state| state.is_restarting()) {
        return super::EngineError::Restarted.into_response();
    }
    next.run(request).await
}
