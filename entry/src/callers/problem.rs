//! Refusals to callers as problem details (RFC 9457).

use axum::{
    http::{
        HeaderValue, StatusCode,
        header::{CONTENT_TYPE, RETRY_AFTER},
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

/// A refusal of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Problem {
    pub(crate) request: RequestId,
    pub(crate) refusal: Refusal,
}

impl Problem {
    /// Refuses a request, in the log and the metrics as well.
    pub(crate) fn refuse(request: RequestId, refusal: Refusal) -> Self {
        let reason = <&'static str>::from(refusal.reason);
        metrics::counter!("fulmarhead_refused_total", "reason" => reason).increment(1);
        info!(
            target: "decision", request:%, reason, outcome:% = refusal.outcome;
            "request refused"
        );
        Self { request, refusal }
    }

    /// Returns the members of the problem document.
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
        if let Some(wait) = self.refusal.retry_after {
            // The header has whole seconds; rounding up never asks for a retry too early.
            headers.insert(RETRY_AFTER, whole_seconds(wait).into());
        }
        response
    }
}

fn whole_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

/// Answers paths that the entry does not serve.
pub(crate) async fn not_found() -> Problem {
    let refusal = Refusal::not_run(Reason::UnknownApplication);
    Problem { request: RequestId::new_v4(), refusal }
}
