//! Execution of one call by an application worker.

use super::state::{Application, Effect, take_fault};
use crate::aborted::aborted_response;
use axum::{
    Json,
    http::{Method, StatusCode},
    response::{IntoResponse, Response},
};
use serde_json::json;
use std::{sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::sleep};

#[derive(Debug)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) idempotency_key: String,
    pub(super) body: String,
}

/// Runs a call to its end, even if its connection is lost in the meantime.
///
/// A restart of the worker aborts the call and its connection.
pub(super) async fn run(application: Arc<Application>, call: Call) -> Response {
    let (sender, receiver) = oneshot::channel();
    let worker = Arc::clone(&application);
    let incarnation = application.begin_call();
    let restarted = incarnation.clone();
    application.calls.spawn_queued(async move {
        let response = tokio::select! {
            biased;
            () = incarnation.cancelled() => aborted_response(),
            response = serve(&worker, call) => response,
        };
        worker.end_call(&incarnation);
        // Sending fails if the connection is lost, since the receiver is dropped.
        let _ = sender.send(response);
    });
    tokio::select! {
        biased;
        () = restarted.cancelled() => aborted_response(),
        response = receiver => response.unwrap_or_else(|_| aborted_response()),
    }
}

/// Computes the response of a call; any method but GET has an effect.
async fn serve(application: &Application, call: Call) -> Response {
    let slow = Duration::from_millis(application.lock().faults.slow_ms);
    sleep(application.settings.service_time + slow).await;
    if call.method == Method::GET {
        return Json(json!({ "path": call.path, "stock": 7 })).into_response();
    }
    if take_fault(&mut application.lock().faults.before_effect) {
        return aborted_response();
    }
    let effect = Effect {
        key: call.idempotency_key,
        call: format!("{} {}", call.method, call.path),
        body: call.body,
    };
    let result = application.record_effect(effect).await;
    if take_fault(&mut application.lock().faults.after_effect) {
        return aborted_response();
    }
    match result {
        Ok(number) => (StatusCode::CREATED, Json(json!({ "order": number }))).into_response(),
        // The recorder may or may not have stored the effect, so the outcome is left unknown.
        Err(_) => aborted_response(),
    }
}
