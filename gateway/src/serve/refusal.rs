//! Responses that the gateway itself generates.

use super::body::{ResponseBody, full_body};
use bytes::Bytes;
use fulmarhead_lib::forward::{Failure, FailureOutcome};
use fulmarhead_platform::retry_after_header;
use hyper::{Response, StatusCode, header::CONTENT_TYPE};
use rand::RngExt;
use serde_json::json;
use std::{ops::Range, time::Duration};

/// Delay after which a refused caller may retry, unless a retry would be late; several requests
/// have completed by then.
pub(super) const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Range of the delay, in ms, after which a caller that is refused by a stopping entry may retry. The
/// load balancer has other entries for it, and the callers of a whole queue are refused at once.
const STOPPING_RETRY_MS: Range<u64> = 20..100;

/// Range, as a share of the route's timeout, of the retry delay of a caller that is refused because
/// its response would be late. A retry can't be on time either, and the load may have passed by
/// then.
const LATE_RETRY_SHARE: Range<f64> = 0.18..0.26;

/// Returns the delay after which a caller that is refused with `failure` may retry: the `forecast` of
/// capacity if there is one. `late` says that a retry can't be on time.
pub(super) fn retry_delay(
    failure: Failure,
    forecast: Option<Duration>,
    late: bool,
    route_timeout: Duration,
) -> Duration {
    match (failure, forecast) {
        (Failure::Overloaded | Failure::Rejected, Some(delay)) => delay,
        _ => unforecast_delay(failure, late, route_timeout),
    }
}

/// Returns the delay for a request for which there is no forecast.
fn unforecast_delay(failure: Failure, late: bool, route_timeout: Duration) -> Duration {
    match failure {
        Failure::Overloaded | Failure::Rejected if late => {
            route_timeout.mul_f64(rand::rng().random_range(LATE_RETRY_SHARE))
        }
        Failure::Stopping => Duration::from_millis(rand::rng().random_range(STOPPING_RETRY_MS)),
        _ => DEFAULT_RETRY_DELAY,
    }
}

/// Range, as a share of the time until the first target wants requests again, of the time by which
/// callers return later than that, so that they don't return together.
const PAUSE_SPREAD: Range<f64> = 0.05..0.35;

/// Returns the delay after which a caller may retry that is refused because all targets want no
/// requests for `pause`.
pub(super) fn pause_delay(pause: Duration) -> Duration {
    pause.mul_f64(1.0 + rand::rng().random_range(PAUSE_SPREAD))
}

/// Returns the response to a request that no target answered. If the request has not run, the
/// response asks the caller to retry after `retry_delay`.
pub(super) fn refusal_response(
    failure_outcome: FailureOutcome,
    retry_delay: Duration,
) -> Response<ResponseBody> {
    let (status, outcome, failure) = match failure_outcome {
        FailureOutcome::NotRun(failure) => (StatusCode::SERVICE_UNAVAILABLE, "not_run", failure),
        FailureOutcome::Unknown(Failure::Timeout) => {
            (StatusCode::GATEWAY_TIMEOUT, "unknown", Failure::Timeout)
        }
        FailureOutcome::Unknown(failure) => (StatusCode::BAD_GATEWAY, "unknown", failure),
    };
    let mut response = problem_response(status, failure.into(), outcome);
    if matches!(failure_outcome, FailureOutcome::NotRun(_)) {
        let (name, value) = retry_after_header(retry_delay);
        response.headers_mut().insert(name, value);
    }
    response
}

/// Returns a response with a problem document.
pub(super) fn problem_response(
    status: StatusCode,
    reason: &str,
    outcome: &str,
) -> Response<ResponseBody> {
    let document = json!({"status": status.as_u16(), "reason": reason, "outcome": outcome});
    let mut response = Response::new(full_body(Bytes::from(document.to_string())));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
