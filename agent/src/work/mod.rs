//! HTTP server for work from entries: completions, prefill of prompt segments, and application
//! calls.

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

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Returns the routes that accept work from entries.
pub(crate) fn router(agent: &Arc<Agent>) -> Router {
    Router::new()
        .route("/work/completions", post(completions::complete))
        .route("/work/kv/{lease}/prefill", post(segments::prefill))
        .route("/work/apps/{application}/{*path}", any(applications::call))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(map_response_with_state(Arc::clone(agent), add_load_header))
        .with_state(Arc::clone(agent))
}

/// Adds the current load to a response, so that entries learn it before the next report.
async fn add_load_header(State(agent): State<Arc<Agent>>, mut response: Response) -> Response {
    let load = agent.state().load_report();
    if let Some(value) = encode_load(&load) {
        response.headers_mut().insert(LOAD, value);
    }
    response
}
