//! Work that entries send: completions, segments of long prompts, and calls to applications.

mod applications;
mod body;
mod completions;
mod refuse;
mod segments;

use crate::agent::Agent;
use axum::{
    Router,
    extract::{DefaultBodyLimit, State},
    middleware::map_response_with_state,
    response::Response,
    routing::{any, post},
};
use fulmarhead_runtime::work::{LOAD, encode_load};
use std::sync::Arc;

/// Largest body, in bytes.
const MAX_BODY: usize = 16 << 20;

/// Returns the routes for work.
pub(crate) fn router(agent: &Arc<Agent>) -> Router {
    Router::new()
        .route("/work/completions", post(completions::complete))
        .route("/work/kv/{lease}/prefill", post(segments::prefill))
        .route("/work/apps/{application}/{*path}", any(applications::call))
        .layer(DefaultBodyLimit::max(MAX_BODY))
        .layer(map_response_with_state(Arc::clone(agent), add_load))
        .with_state(Arc::clone(agent))
}

/// Adds the load to an answer, so that entries hear of it before the next report.
async fn add_load(State(agent): State<Arc<Agent>>, mut response: Response) -> Response {
    let load = agent.core().load_report();
    if let Some(value) = encode_load(&load) {
        response.headers_mut().insert(LOAD, value);
    }
    response
}
