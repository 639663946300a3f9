//! HTTP interface of an application worker.

use super::state::{Application, Effect};
use axum::{
    Json, Router,
    extract::State,
    http::{HeaderMap, Method, StatusCode, Uri},
    response::{IntoResponse, Response},
    routing::get,
};
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::time::sleep;

impl Application {
    /// Returns the routes of the worker.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/load", get(load))
            .route("/effects", get(effects))
            .fallback(call)
            .with_state(Arc::clone(self))
    }
}

async fn load(State(application): State<Arc<Application>>) -> Json<Value> {
    let running = application.lock().running;
    Json(json!({
        "restarts": 0,
        "running": running,
        "capacity": application.settings.capacity,
    }))
}

async fn effects(State(application): State<Arc<Application>>) -> Json<Vec<Effect>> {
    Json(application.effects())
}

/// Answers a call; any method but GET has an effect.
async fn call(
    State(application): State<Arc<Application>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: String,
) -> Response {
    sleep(application.settings.service_time).await;
    if method == Method::GET {
        return Json(json!({ "path": uri.path(), "stock": 7 })).into_response();
    }
    let key = headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    let effect = Effect {
        key: key.unwrap_or_default().to_owned(),
        call: format!("{method} {}", uri.path()),
        body,
    };
    let mut state = application.lock();
    state.effects.push(effect);
    let number = state.effects.len();
    drop(state);
    (StatusCode::CREATED, Json(json!({ "order": number }))).into_response()
}
