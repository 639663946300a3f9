//! Cancels streams and frees memory at the engine that are no longer needed.

use crate::agent::{Agent, Cleanup, CleanupQueue};
use fulmarhead_runtime::supervisor::TaskResult;
use log::debug;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Sends the queued cleanups to the engine until `stop` is cancelled.
///
/// A failed cleanup is not retried. Memory that was not freed is found by
/// [`free_unused_resources`](super::free_unused_resources); a stream is left to the limits of the
/// engine.
pub(crate) async fn run_cleanups(
    agent: Arc<Agent>,
    queue: CleanupQueue,
    stop: CancellationToken,
) -> TaskResult {
    let mut queue = queue.0.lock().await;
    loop {
        let cleanup = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            cleanup = queue.recv() => cleanup,
        };
        let result = match cleanup {
            Some(Cleanup::Stream(request)) => agent.engine.cancel(request).await,
            Some(Cleanup::Lease(lease)) => agent.engine.free(lease).await,
            None => return Ok(()),
        };
        if let Err(error) = result {
            debug!(error:%; "engine cleanup failed; only the memory of leases is freed later");
        }
    }
}
