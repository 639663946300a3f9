//! Refusals to entries.

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

/// A refusal as an HTTP response.
#[derive(Debug)]
pub(crate) struct Refused(pub(crate) Refusal);

impl IntoResponse for Refused {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.0.reason.status());
        let status = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let mut response = (status, Json(self.0)).into_response();
        response.headers_mut().insert(REFUSAL, HeaderValue::from_static("1"));
        response
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self(refusal)
    }
}

impl From<HeaderError> for Refused {
    fn from(_: HeaderError) -> Self {
        Self(Refusal::not_run(Reason::MalformedRequest))
    }
}

/// Writes the decision to refuse an attempt to the log.
pub(crate) fn log_refusal(request: RequestId, attempt: AttemptNumber, refusal: &Refusal) {
    let reason = <&'static str>::from(refusal.reason);
    metrics::counter!("fulmarhead_attempts_refused_total", "reason" => reason).increment(1);
    info!(
        target: "decision", request:%, attempt, reason, outcome:% = refusal.outcome;
        "attempt refused"
    );
}
