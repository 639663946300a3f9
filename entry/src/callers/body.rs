//! Request bodies of callers, with limits on size and time and within the memory of the process.

use crate::entry::Entry;
use axum::body::Body;
use fulmarhead_lib::{
    limits::STALL_TIME,
    outcome::{Reason, Refusal},
};
use fulmarhead_runtime::http::{BodyLimits, BodyReadError, HeldBody};
use std::time::Duration;

/// Maximum time for a caller to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay after which a caller may retry that was refused because the memory for bodies is used up.
/// Bodies that make no progress have released theirs by then.
const MEMORY_RETRY_DELAY: Duration = STALL_TIME;

/// Reads a body within `limits`, whose time is at most that until the deadline of the request.
///
/// # Errors
///
/// Returns a refusal if the body is too large, takes too long, can't be read, there is no memory for
/// it, or the entry is about to end.
pub(crate) async fn read(
    entry: &Entry,
    body: Body,
    limits: BodyLimits,
) -> Result<HeldBody, Refusal> {
    let limits = BodyLimits { time: limits.time.min(BODY_TIMEOUT), ..limits };
    let result = tokio::select! {
        biased;
        result = entry.bodies.read_request(body, limits) => result,
        () = entry.end_requests.cancelled() => {
            return Err(Refusal::not_run(Reason::ShuttingDown));
        }
    };
    result.map_err(|error| match error {
        BodyReadError::TooLarge => Refusal::not_run(Reason::BodyTooLarge),
        BodyReadError::NoMemory => {
            Refusal::not_run(Reason::NoBodyMemory).with_retry_after(MEMORY_RETRY_DELAY)
        }
        BodyReadError::Stalled | BodyReadError::Timeout => Refusal::not_run(Reason::BodyTimeout),
        BodyReadError::Broken => Refusal::not_run(Reason::MalformedRequest),
    })
}
