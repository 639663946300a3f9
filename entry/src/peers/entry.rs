//! Control connection to one other entry.

use super::agent::reconcile;
use crate::entry::Entry;
use fulmarhead_runtime::control::{Peer, PeerError};
use log::debug;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Time between two comparisons of revisions.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before another attempt to connect after the connection was lost or could not be
/// established.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Keeps a connection to the entry at `address` until `stop` is cancelled.
pub(super) async fn run(entry: Arc<Entry>, address: SocketAddr, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let result = tokio::select! {
            () = stop.cancelled() => Ok(()),
            result = run_connection(&entry, address) => result,
        };
        if let Err(error) = result {
            debug!(address:%, error:%; "control connection to the entry failed; retrying");
        }
        let _ = timeout(RECONNECT_DELAY, stop.cancelled()).await;
    }
}

/// Connects, then compares revisions until the connection fails.
async fn run_connection(entry: &Entry, address: SocketAddr) -> Result<(), PeerError> {
    let peer = Peer::connect(address, Arc::clone(&entry.clock)).await?;
    let mut revision = entry.revision.subscribe();
    loop {
        let version = entry.state().config.version();
        let reply = peer.sync(version).await?;
        reconcile(entry, &peer, reply).await?;
        let _ = timeout(SYNC_INTERVAL, revision.changed()).await;
    }
}
