//! Work that entries send: completions, segments of long prompts, and calls to applications.

mod applications;
mod body;
mod completions;
mod refuse;
mod segments;

use crate::agent::Agent;
use axum::{
    Router,
    extract::DefaultBodyLimit,
    routing::{any, post},
};
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
        .with_state(Arc::clone(agent))
}
