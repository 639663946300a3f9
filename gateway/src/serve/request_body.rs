//! Request bodies of callers, within the memory of the process.

use super::{body::ResponseBody, record, refusal::problem_response};
use crate::gateway::Gateway;
use bytes::Bytes;
use fulmarhead_platform::{RequestHead, retry_after_header};
use fulmarhead_runtime::http::{BodyLimits, BodyReadError};
use hyper::{
    Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};
use rand::RngExt;
use std::{ops::Range, time::Duration};

/// Range of the delay, in ms, after which a caller may retry that was refused because the memory
/// for bodies is used up. Bodies that make no progress have released theirs by then, and the spread
/// keeps callers from returning together.
const RETRY_DELAY_MS: Range<u64> = 500..1_000;

/// Reads the body of a request. Its memory is accounted until the last clone of it is dropped.
///
/// # Errors
///
/// Returns the response to the caller if the body was not read. The request has not run. The
/// response closes the connection, on which the rest of the body may still arrive.
pub(super) async fn read_body(
    gateway: &Gateway,
    head: &RequestHead,
    body: Incoming,
    limits: BodyLimits,
) -> Result<Bytes, Response<ResponseBody>> {
    match gateway.bodies.read_request(body, limits).await {
        Ok(body) => Ok(body.into_bytes()),
        Err(error) => {
            record::body_unread(&head.request_id, error, gateway.bodies.held());
            Err(unread_response(error))
        }
    }
}

fn unread_response(error: BodyReadError) -> Response<ResponseBody> {
    let status = match error {
        BodyReadError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyReadError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        BodyReadError::Stalled | BodyReadError::Timeout => StatusCode::REQUEST_TIMEOUT,
        BodyReadError::Broken => StatusCode::BAD_REQUEST,
    };
    let mut response = problem_response(status, error.into(), "not_run");
    let headers = response.headers_mut();
    if error == BodyReadError::NoMemory {
        let delay = Duration::from_millis(rand::rng().random_range(RETRY_DELAY_MS));
        let (name, value) = retry_after_header(delay);
        headers.insert(name, value);
    }
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
