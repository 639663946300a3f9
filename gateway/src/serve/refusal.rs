//! Answers of the gateway itself.

use super::body::{AnswerBody, whole};
use bytes::Bytes;
use fulmarhead_lib::forward::{Failure, FailureOutcome};
use fulmarhead_platform::retry_after_header;
use hyper::{Response, StatusCode, header::CONTENT_TYPE};
use rand::RngExt;
use serde_json::json;
use std::{ops::Range, time::Duration};

/// Time after which a caller may come back when the fleet has no room: a few answers have ended
/// by then.
pub(super) const BUSY_PAUSE: Duration = Duration::from_millis(250);

/// Part of the route's time limit after which a caller may come back that was refused since it
/// would have been late. It can't be on time any more, and the load may have passed by then.
const LATE_PART: Range<f64> = 0.18..0.26;

/// Returns after which time a caller may come back that is refused with `failure`; `late` says
/// that it can't be on time any more.
pub(super) fn pause(failure: Failure, late: bool, limit: Duration) -> Duration {
    match failure {
        Failure::Overloaded | Failure::Rejected if late => {
            limit.mul_f64(rand::rng().random_range(LATE_PART))
        }
        _ => BUSY_PAUSE,
    }
}

/// Returns the answer for a request that no target answered; the caller may come back after
/// `pause` if it has not run.
pub(super) fn refuse(ending: FailureOutcome, pause: Duration) -> Response<AnswerBody> {
    let (status, outcome, failure) = match ending {
        FailureOutcome::NotRun(failure) => (StatusCode::SERVICE_UNAVAILABLE, "not_run", failure),
        FailureOutcome::Unknown(Failure::Timeout) => {
            (StatusCode::GATEWAY_TIMEOUT, "unknown", Failure::Timeout)
        }
        FailureOutcome::Unknown(failure) => (StatusCode::BAD_GATEWAY, "unknown", failure),
    };
    let mut response = problem(status, failure.into(), outcome);
    if matches!(ending, FailureOutcome::NotRun(_)) {
        let (name, value) = retry_after_header(pause);
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
