//! The control connection to one agent.

use crate::entry::Entry;
use fulmarhead_lib::{control::SyncReply, ids::TargetId};
use fulmarhead_runtime::control::{Peer, PeerError};
use log::{debug, error};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Time between two reports; the answers to work bring the load in between.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Pause before a lost connection is set up again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(250);

/// Connects again and again until `stop` is cancelled.
pub(super) async fn run(
    entry: Arc<Entry>,
    target: TargetId,
    address: SocketAddr,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        let result = tokio::select! {
            () = stop.cancelled() => Ok(()),
            result = exchange(&entry, &target, address) => result,
        };
        entry.core().known.connect(&target, None);
        if let Err(error) = result {
            debug!(target_id = target, error:%; "agent can't be reached");
        }
        let _ = timeout(RECONNECT_PAUSE, stop.cancelled()).await;
    }
}

/// Exchanges revisions and reports on one connection until it fails.
async fn exchange(entry: &Entry, target: &str, address: SocketAddr) -> Result<(), PeerError> {
    let peer = Peer::connect(address, Arc::clone(&entry.clock)).await?;
    entry.core().known.connect(target, Some(peer.clone()));
    let mut revision = entry.revision.subscribe();
    loop {
        let stamp = entry.core().view.version();
        let exchange = peer.exchange(stamp).await?;
        if let Some(report) = exchange.report {
            entry.core().known.report(report, entry.clock.now());
        }
        // The agent's phase may change with the revision that it just got.
        if settle(entry, &peer, exchange.sync).await? == Settled::PeerAdopted {
            continue;
        }
        // A new revision goes out at once.
        let _ = timeout(REPORT_INTERVAL, revision.changed()).await;
    }
}

/// What a comparison of configurations led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Settled {
    /// The peer has put the entry's configuration in force.
    PeerAdopted,
    /// Anything else.
    Other,
}

/// Brings both sides to the higher revision.
pub(super) async fn settle(
    entry: &Entry,
    peer: &Peer,
    reply: SyncReply,
) -> Result<Settled, PeerError> {
    match reply {
        SyncReply::Current => {}
        SyncReply::Conflict(stamp) => {
            let revision = stamp.revision;
            if entry.core().view.record_conflict(revision) {
                error!(revision; "a peer has other content under the revision in force");
            }
        }
        SyncReply::Newer(bundle) => {
            entry.adopt(bundle);
        }
        SyncReply::Behind(_) => return offer(entry, peer).await,
    }
    Ok(Settled::Other)
}

async fn offer(entry: &Entry, peer: &Peer) -> Result<Settled, PeerError> {
    let bundle = entry.core().view.bundle();
    let Some(bundle) = bundle else { return Ok(Settled::Other) };
    let offered = bundle.revision;
    let adopted = peer.adopt(bundle).await? == offered;
    Ok(if adopted { Settled::PeerAdopted } else { Settled::Other })
}
