//! HTTP interface of the application worker.

use super::{
    call::{self, Call},
    state::{Application, ApplicationFaults, Effect},
};
use axum::{
    Json, Router,
    extract::State,
    http::{HeaderMap, Method, StatusCode, Uri},
    response::Response,
    routing::{get, post},
};
use serde_json::{Value, json};
use std::sync::Arc;

impl Application {
    /// Returns the HTTP routes of the worker; those under `/debug` and `/effects` are for tests.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/load", get(get_load))
            .route("/effects", get(get_effects).post(post_effect))
            .route("/debug/faults", post(set_faults))
            .route("/debug/cold", post(reset_warmup))
            .route("/debug/restart", post(post_restart))
            .fallback(handle_call)
            .with_state(Arc::clone(self))
    }
}

async fn get_load(State(application): State<Arc<Application>>) -> Json<Value> {
    let state = application.lock();
    Json(json!({
        "restarts": state.restarts,
        "running": state.running,
        "capacity": application.settings.capacity,
    }))
}

async fn get_effects(State(application): State<Arc<Application>>) -> Json<Vec<Effect>> {
    Json(application.effects())
}

/// Records an effect that another worker reports to this recorder.
async fn post_effect(
    State(application): State<Arc<Application>>,
    Json(effect): Json<Effect>,
) -> StatusCode {
    match application.record_effect(effect).await {
        Ok(_) => StatusCode::NO_CONTENT,
        Err(_) => StatusCode::BAD_GATEWAY,
    }
}

async fn set_faults(
    State(application): State<Arc<Application>>,
    Json(faults): Json<ApplicationFaults>,
) -> StatusCode {
    application.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn reset_warmup(State(application): State<Arc<Application>>) -> StatusCode {
    application.reset_warmup();
    StatusCode::NO_CONTENT
}

async fn post_restart(State(application): State<Arc<Application>>) -> StatusCode {
    application.restart();
    StatusCode::NO_CONTENT
}

/// Handles any path without a route of its own as an application call.
async fn handle_call(
    State(application): State<Arc<Application>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: String,
) -> Response {
    let idempotency_key = headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    let idempotency_key = idempotency_key.unwrap_or_default().to_owned();
    call::run(application, Call { method, path: uri.path().to_owned(), idempotency_key, body })
        .await
}
