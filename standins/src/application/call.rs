//! One call of an application worker.

use super::state::{Application, Effect, strike};
use crate::broken::broken;
use axum::{
    Json,
    http::{Method, StatusCode},
    response::{IntoResponse, Response},
};
use serde_json::json;
use std::{sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::sleep};

/// A call as it came.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) key: String,
    pub(super) body: String,
}

/// Runs a call to its end, even when its connection is lost meanwhile.
pub(super) async fn run(application: Arc<Application>, call: Call) -> Response {
    let (sender, receiver) = oneshot::channel();
    let runner = Arc::clone(&application);
    let life = application.begin();
    let ended = life.clone();
    application.calls.spawn_queued(async move {
        let answer = tokio::select! {
            biased;
            () = life.cancelled() => broken(),
            answer = serve(&runner, call) => answer,
        };
        runner.end(&life);
        // Without a connection nobody waits for the answer.
        let _ = sender.send(answer);
    });
    tokio::select! {
        biased;
        () = ended.cancelled() => broken(),
        answer = receiver => answer.unwrap_or_else(|_| broken()),
    }
}

/// Answers a call; any method but GET has an effect.
async fn serve(application: &Application, call: Call) -> Response {
    let slow = Duration::from_millis(application.lock().faults.slow_ms);
    sleep(application.settings.service_time + slow).await;
    if call.method == Method::GET {
        return Json(json!({ "path": call.path, "stock": 7 })).into_response();
    }
    if strike(&mut application.lock().faults.before_effect) {
        return broken();
    }
    let effect =
        Effect { key: call.key, call: format!("{} {}", call.method, call.path), body: call.body };
    let result = application.record(effect).await;
    if strike(&mut application.lock().faults.after_effect) {
        return broken();
    }
    match result {
        Ok(number) => (StatusCode::CREATED, Json(json!({ "order": number }))).into_response(),
        // The recorder may have the effect, so that the answer says nothing about it.
        Err(_) => broken(),
    }
}
