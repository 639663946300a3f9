//! HTTP API for callers: completions in the format of the OpenAI API, and calls to applications.

mod applications;
mod body;
mod caller;
mod completions;
mod format;
mod keys;
mod problem;

use crate::entry::Entry;
use axum::{
    Router,
    routing::{any, post},
};
use std::sync::Arc;

/// Returns the router of the HTTP API for callers.
pub(crate) fn router(entry: &Arc<Entry>) -> Router {
    Router::new()
        .route("/v1/completions", post(completions::complete))
        .route("/v1/chat/completions", post(completions::chat))
        .route("/apps/{application}/keys", post(keys::issue))
        .route("/apps/{application}/{*path}", any(applications::call))
        .fallback(problem::not_found)
        .with_state(Arc::clone(entry))
}
