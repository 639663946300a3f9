//! The control connection to one other entry.

use super::agent::settle;
use crate::entry::Entry;
use fulmarhead_runtime::control::{Peer, PeerError};
use log::debug;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Time between two comparisons of revisions.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Pause before a lost connection is set up again.
const RECONNECT_PAUSE: Duration = Duration::from_secs(1);

/// Connects again and again until `stop` is cancelled.
pub(super) async fn run(entry: Arc<Entry>, address: SocketAddr, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let result = tokio::select! {
            () = stop.cancelled() => Ok(()),
            result = exchange(&entry, address) => result,
        };
        if let Err(error) = result {
            debug!(address:%, error:%; "entry can't be reached");
        }
        let _ = timeout(RECONNECT_PAUSE, stop.cancelled()).await;
    }
}

async fn exchange(entry: &Entry, address: SocketAddr) -> Result<(), PeerError> {
    let peer = Peer::connect(address, Arc::clone(&entry.clock)).await?;
    let mut revision = entry.revision.subscribe();
    loop {
        let stamp = entry.core().view.version();
        let reply = peer.sync(stamp).await?;
        settle(entry, &peer, reply).await?;
        let _ = timeout(SYNC_INTERVAL, revision.changed()).await;
    }
}
