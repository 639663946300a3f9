//! Control connection to the agent of one target.

use crate::entry::Entry;
use fulmarhead_lib::{control::SyncReply, ids::TargetId};
use fulmarhead_runtime::control::{Peer, PeerError};
use log::{debug, error};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Time between two requests for a report. In between, the responses to work contain the load.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before another attempt to connect after the connection was lost or could not be
/// established.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// Keeps a connection to the agent of `target` until `stop` is cancelled.
pub(super) async fn run(
    entry: Arc<Entry>,
    target: TargetId,
    address: SocketAddr,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        let result = tokio::select! {
            () = stop.cancelled() => Ok(()),
            result = run_connection(&entry, &target, address) => result,
        };
        entry.state().targets.set_peer(&target, None);
        if let Err(error) = result {
            debug!(target_id = target, error:%; "control connection to the agent failed; retrying");
        }
        let _ = timeout(RECONNECT_DELAY, stop.cancelled()).await;
    }
}

/// Connects, then exchanges revisions and reports until the connection fails.
async fn run_connection(entry: &Entry, target: &str, address: SocketAddr) -> Result<(), PeerError> {
    let peer = Peer::connect(address, Arc::clone(&entry.clock)).await?;
    entry.state().targets.set_peer(target, Some(peer.clone()));
    let mut revision = entry.revision.subscribe();
    loop {
        let version = entry.state().config.version();
        let reply = peer.exchange(version).await?;
        if let Some(report) = reply.report {
            let mut state = entry.state();
            state.prefixes.record_report(&report);
            state.targets.record_report(report, entry.clock.now());
        }
        // The new revision may change the phase of the agent, so a new report is requested at once.
        if reconcile(entry, &peer, reply.sync).await? == SyncOutcome::PeerAdopted {
            continue;
        }
        // A new revision is sent at once.
        let _ = timeout(REPORT_INTERVAL, revision.changed()).await;
    }
}

/// Result of comparing configurations with a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SyncOutcome {
    /// The peer adopted the configuration of this entry.
    PeerAdopted,
    /// The peer did not adopt a configuration from this entry.
    PeerUnchanged,
}

/// Brings this entry and a peer to the higher of their revisions.
pub(super) async fn reconcile(
    entry: &Entry,
    peer: &Peer,
    reply: SyncReply,
) -> Result<SyncOutcome, PeerError> {
    match reply {
        SyncReply::Current => {}
        SyncReply::Conflict(version) => {
            let revision = version.revision;
            if entry.state().config.record_conflict(revision) {
                error!(
                    revision;
                    "a peer has other content for this revision; keeping the active one"
                );
            }
        }
        SyncReply::Newer(bundle) => {
            entry.adopt(bundle);
        }
        SyncReply::Behind(_) => return send_config(entry, peer).await,
    }
    Ok(SyncOutcome::PeerUnchanged)
}

/// Sends the active configuration to a peer.
async fn send_config(entry: &Entry, peer: &Peer) -> Result<SyncOutcome, PeerError> {
    let bundle = entry.state().config.bundle();
    let Some(bundle) = bundle else { return Ok(SyncOutcome::PeerUnchanged) };
    let offered = bundle.revision;
    let adopted = peer.adopt(bundle).await? == offered;
    Ok(if adopted { SyncOutcome::PeerAdopted } else { SyncOutcome::PeerUnchanged })
}
