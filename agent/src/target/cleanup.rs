//! Tells the engine to drop what nobody needs.

use crate::agent::{Agent, Cleanup, CleanupQueue};
use fulmarhead_runtime::supervisor::TaskResult;
use log::debug;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Works off the queue until `stop` is cancelled.
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
            debug!(error:%; "cleanup failed");
        }
    }
}
