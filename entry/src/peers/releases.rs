//! Release of leases whose request has ended.

use crate::entry::{Entry, LeaseReleaseQueue};
use fulmarhead_runtime::supervisor::TaskResult;
use log::debug;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Releases the leases in `queue` until `stop` is cancelled.
pub(crate) async fn release_leases(
    entry: Arc<Entry>,
    queue: LeaseReleaseQueue,
    stop: CancellationToken,
) -> TaskResult {
    let mut queue = queue.0.lock().await;
    loop {
        let release = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            release = queue.recv() => release,
        };
        let Some((target, lease)) = release else { return Ok(()) };
        let peer = entry.state().targets.peer(&target);
        let Some(peer) = peer else { continue };
        if let Err(error) = peer.release(lease).await {
            debug!(lease:%, error:%; "failed to release a lease; it will expire at the agent");
        }
    }
}
