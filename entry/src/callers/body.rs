//! Request bodies of callers, with limits on size and time.

use axum::body::{Body, Bytes};
use fulmarhead_lib::outcome::{Reason, Refusal};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time for a caller to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads a body of at most `max_bytes` bytes.
///
/// `remaining` is the time until the deadline of the request, which also limits the read.
///
/// # Errors
///
/// Returns a refusal if the body is too large, takes too long, or can't be read.
pub(crate) async fn read(
    body: Body,
    max_bytes: usize,
    remaining: Duration,
) -> Result<Bytes, Refusal> {
    let time_limit = BODY_TIMEOUT.min(remaining);
    let result = timeout(time_limit, Limited::new(body, max_bytes).collect()).await;
    match result {
        Err(_) => Err(Refusal::not_run(Reason::BodyTimeout)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::not_run(Reason::BodyTooLarge))
        }
        Ok(Err(_)) => Err(Refusal::not_run(Reason::MalformedRequest)),
    }
}
