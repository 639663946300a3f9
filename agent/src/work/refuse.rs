//! Responses and log lines for refused attempts.

use axum::{
    Json,
    http::{HeaderValue, StatusCode},
    response::{IntoResponse, Response},
};
use fulmarhead_lib::{
    ids::{AttemptNumber, RequestId},
    outcome::{Reason, Refusal},
};
use fulmarhead_runtime::work::{HeaderError, REFUSAL};
use log::info;

/// A refusal that is sent to the entry as an HTTP response with the refusal header.
#[derive(Debug)]
pub(crate) struct RefusalResponse(pub(crate) Refusal);

impl IntoResponse for RefusalResponse {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.0.reason.status());
        let status = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let mut response = (status, Json(self.0)).into_response();
        response.headers_mut().insert(REFUSAL, HeaderValue::from_static("1"));
        response
    }
}

impl From<Refusal> for RefusalResponse {
    fn from(refusal: Refusal) -> Self {
        Self(refusal)
    }
}

impl From<HeaderError> for RefusalResponse {
    fn from(_: HeaderError) -> Self {
        Self(Refusal::not_run(Reason::MalformedRequest))
    }
}

/// Logs and counts a refused attempt.
pub(crate) fn log_refusal(request: RequestId, attempt: AttemptNumber, refusal: &Refusal) {
    let reason = <&'static str>::from(refusal.reason);
    metrics::counter!("fulmarhead_attempts_refused_total", "reason" => reason).increment(1);
    info!(
        target: "decision", request:%, attempt, reason, outcome:% = refusal.outcome;
        "attempt refused"
    );
}
