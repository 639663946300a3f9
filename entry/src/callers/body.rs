//! Bodies of callers, bounded in size and time.

use axum::body::{Body, Bytes};
use fulmarhead_lib::outcome::{Reason, Refusal};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use std::time::Duration;
use tokio::time::timeout;

/// Longest time for a caller to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads a body of at most `limit` bytes from a caller that waits for `remaining` in all.
pub(crate) async fn read(body: Body, limit: usize, remaining: Duration) -> Result<Bytes, Refusal> {
    let bound = BODY_TIMEOUT.min(remaining);
    let collected = timeout(bound, Limited::new(body, limit).collect()).await;
    match collected {
        Err(_) => Err(Refusal::not_run(Reason::BodyTimeout)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::not_run(Reason::BodyTooLarge))
        }
        Ok(Err(_)) => Err(Refusal::not_run(Reason::MalformedRequest)),
    }
}
