//! HTTP interface of an application worker.

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
    /// Returns the routes of the worker; those under `/debug` and `/effects` are for tests.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/load", get(load))
            .route("/effects", get(effects).post(record))
            .route("/debug/faults", post(set_faults))
            .route("/debug/cold", post(turn_cold))
            .route("/debug/restart", post(restart))
            .fallback(answer)
            .with_state(Arc::clone(self))
    }
}

async fn load(State(application): State<Arc<Application>>) -> Json<Value> {
    let state = application.lock();
    Json(json!({
        "restarts": state.restarts,
        "running": state.running,
        "capacity": application.settings.capacity,
    }))
}

async fn effects(State(application): State<Arc<Application>>) -> Json<Vec<Effect>> {
    Json(application.effects())
}

/// Records an effect that another worker reports.
async fn record(
    State(application): State<Arc<Application>>,
    Json(effect): Json<Effect>,
) -> StatusCode {
    match application.record(effect).await {
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

async fn turn_cold(State(application): State<Arc<Application>>) -> StatusCode {
    application.turn_cold();
    StatusCode::NO_CONTENT
}

async fn restart(State(application): State<Arc<Application>>) -> StatusCode {
    application.restart();
    StatusCode::NO_CONTENT
}

/// Answers any other call.
async fn answer(
    State(application): State<Arc<Application>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: String,
) -> Response {
    let key = headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    let key = key.unwrap_or_default().to_owned();
    call::run(application, Call { method, path: uri.path().to_owned(), key, body }).await
}
