//! HTTP interface for operators, which every process serves.

use crate::{process::Readiness, telemetry::MetricsHandle};
use axum::{Json, Router, extract::State, http::StatusCode, routing::get};
use metrics_process::Collector;
use std::{fmt::Debug, sync::Arc};

/// Source of the state that `/debug/state` shows.
pub trait StateDump: Send + Sync + 'static {
    /// Returns the state as JSON. It must not contain prompts, responses or credentials of
    /// teams.
    fn dump(&self) -> serde_json::Value;
}

#[derive(Clone)]
struct OpsState {
    readiness: Readiness,
    metrics: Option<MetricsHandle>,
    state: Arc<dyn StateDump>,
}

impl Debug for OpsState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OpsState").field("readiness", &self.readiness).finish_non_exhaustive()
    }
}

/// Returns a router for `/healthz`, `/readyz`, `/metrics` and `/debug/state`.
pub fn router(
    readiness: Readiness,
    metrics: Option<MetricsHandle>,
    state: Arc<dyn StateDump>,
) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(probe_readiness))
        .route("/metrics", get(render_metrics))
        .route("/debug/state", get(dump_state))
        .with_state(OpsState { readiness, metrics, state })
}

async fn probe_readiness(State(ops): State<OpsState>) -> (StatusCode, &'static str) {
    match ops.readiness.is_ready() {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

async fn render_metrics(State(ops): State<OpsState>) -> String {
    Collector::default().collect();
    ops.metrics.map(|metrics| metrics.render()).unwrap_or_default()
}

async fn dump_state(State(ops): State<OpsState>) -> Json<serde_json::Value> {
    Json(ops.state.dump())
}
