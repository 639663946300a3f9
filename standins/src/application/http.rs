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
            .route("/effects", get(effects).post(record))
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
    match application.record(effect).await {
        Ok(number) => (StatusCode::CREATED, Json(json!({ "order": number }))).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}
