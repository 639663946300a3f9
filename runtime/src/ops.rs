//! The operators' HTTP interface of each process.

use crate::{process::Readiness, telemetry::MetricsHandle};
use axum::{Json, Router, extract::State, http::StatusCode, routing::get};
use metrics_process::Collector;
use std::{fmt::Debug, sync::Arc};

/// A process that can show its whole state.
pub trait StateDump: Send + Sync + 'static {
    /// Returns the state as JSON, without prompts, answers and tokens of teams.
    fn dump(&self) -> serde_json::Value;
}

#[derive(Clone)]
struct Ops {
    readiness: Readiness,
    metrics: Option<MetricsHandle>,
    state: Arc<dyn StateDump>,
}

impl Debug for Ops {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ops").field("readiness", &self.readiness).finish_non_exhaustive()
    }
}

/// Returns the routes `/healthz`, `/readyz`, `/metrics` and `/debug/state`.
pub fn router(
    readiness: Readiness,
    metrics: Option<MetricsHandle>,
    state: Arc<dyn StateDump>,
) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(render))
        .route("/debug/state", get(dump))
        .with_state(Ops { readiness, metrics, state })
}

async fn ready(State(ops): State<Ops>) -> (StatusCode, &'static str) {
    match ops.readiness.get() {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

async fn render(State(ops): State<Ops>) -> String {
    Collector::default().collect();
    ops.metrics.map(|metrics| metrics.render()).unwrap_or_default()
}

async fn dump(State(ops): State<Ops>) -> Json<serde_json::Value> {
    Json(ops.state.dump())
}
