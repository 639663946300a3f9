//! Responses to refused requests, in the format of problem details (RFC 9457).

use axum::{
    http::{
        HeaderValue, StatusCode,
        header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
    },
    response::{IntoResponse, Response},
};
use fulmarhead_lib::{
    ids::RequestId,
    outcome::{Reason, Refusal},
};
use log::info;
use serde_json::{Value, json};
use std::time::Duration;

/// Problem details of one refused request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Problem {
    pub(crate) request: RequestId,
    pub(crate) refusal: Refusal,
}

impl Problem {
    /// Records a refusal in the log and the metrics, and returns its problem details.
    pub(crate) fn record(request: RequestId, refusal: Refusal) -> Self {
        let reason = <&'static str>::from(refusal.reason);
        metrics::counter!("fulmarhead_refused_total", "reason" => reason).increment(1);
        info!(
            target: "decision", request:%, reason, outcome:% = refusal.outcome;
            "request refused"
        );
        Self { request, refusal }
    }

    /// Returns the problem document, which is also the data of an error event.
    pub(crate) fn document(&self) -> Value {
        let refusal = &self.refusal;
        json!({
            "type": format!("urn:fulmarhead:problem:{}", refusal.reason),
            "title": refusal.reason.to_string().replace('_', " "),
            "status": refusal.reason.status(),
            "reason": refusal.reason,
            "outcome": refusal.outcome,
            "request_id": self.request,
        })
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.refusal.reason.status());
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = (status, self.document().to_string()).into_response();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if is_unread(self.refusal.reason) {
            // The rest of the body may still arrive on the connection.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(delay) = self.refusal.retry_after {
            // The header has whole seconds. They are rounded up so that the retry is not too early.
            headers.insert(RETRY_AFTER, round_up_seconds(delay).into());
        }
        response
    }
}

/// Returns whether the body of a request that is refused for `reason` was not read to its end.
fn is_unread(reason: Reason) -> bool {
    matches!(reason, Reason::BodyTooLarge | Reason::BodyTimeout | Reason::NoBodyMemory)
}

fn round_up_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}

/// Handles requests for unknown paths.
pub(crate) async fn not_found() -> Problem {
    let refusal = Refusal::not_run(Reason::UnknownApplication);
    Problem { request: RequestId::new_v4(), refusal }
}
