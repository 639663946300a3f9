//! Answers of the gateway itself.

use super::body::{AnswerBody, whole};
use bytes::Bytes;
use fulmarhead_lib::forward::{Ending, Failure};
use fulmarhead_platform::retry_after;
use hyper::{Response, StatusCode, header::CONTENT_TYPE};
use serde_json::json;
use std::time::Duration;

/// Time after which a caller may come back when the fleet has no room: a few answers have ended
/// by then.
const BUSY_PAUSE: Duration = Duration::from_millis(250);

/// Returns the answer for a request that no target answered.
pub(super) fn refuse(ending: Ending) -> Response<AnswerBody> {
    let (status, outcome, failure) = match ending {
        Ending::NotRun(failure) => (StatusCode::SERVICE_UNAVAILABLE, "not_run", failure),
        Ending::Unknown(Failure::Timeout) => {
            (StatusCode::GATEWAY_TIMEOUT, "unknown", Failure::Timeout)
        }
        Ending::Unknown(failure) => (StatusCode::BAD_GATEWAY, "unknown", failure),
    };
    let mut response = problem(status, failure.into(), outcome);
    if matches!(ending, Ending::NotRun(_)) {
        let (name, value) = retry_after(BUSY_PAUSE);
        response.headers_mut().insert(name, value);
    }
    response
}

/// Returns a problem document.
pub(super) fn problem(status: StatusCode, reason: &str, outcome: &str) -> Response<AnswerBody> {
    let document = json!({"status": status.as_u16(), "reason": reason, "outcome": outcome});
    let mut response = Response::new(whole(Bytes::from(document.to_string())));
    *response.status_mut() = status;
    let content = hyper::header::HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, content);
    response
}
