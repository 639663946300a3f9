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
    extract::State,
    http::{HeaderValue, header::CONNECTION},
    middleware::map_response_with_state,
    response::Response,
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
        .layer(map_response_with_state(Arc::clone(entry), close_while_stopping))
        .with_state(Arc::clone(entry))
}

/// Closes the connection with the response while the entry is stopping, so that its caller does not
/// send the next request at the moment at which the entry closes it.
async fn close_while_stopping(State(entry): State<Arc<Entry>>, mut response: Response) -> Response {
    if entry.state().stop.is_some() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
