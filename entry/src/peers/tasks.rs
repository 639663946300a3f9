//! Starts and stops the connection tasks as the configuration changes.

use super::{agent, entry as peer_entry};
use crate::entry::Entry;
use fulmarhead_lib::{config::Fleet, digest::sha256_hex};
use fulmarhead_runtime::supervisor::TaskResult;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Maximum number of other entries with which an entry compares revisions.
const MAX_PEER_ENTRIES: usize = 3;

/// Identity of a peer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PeerKey {
    Agent(String, SocketAddr),
    Entry(SocketAddr),
}

/// Runs one task for each peer in the active configuration until `stop` is cancelled.
///
/// Before there is a configuration, the peers are the entries in the `seeds` setting.
pub(crate) async fn run_peer_tasks(entry: Arc<Entry>, stop: CancellationToken) -> TaskResult {
    let mut revision = entry.revision.subscribe();
    let mut tasks = JoinSet::new();
    let mut running: BTreeMap<PeerKey, CancellationToken> = BTreeMap::new();
    loop {
        let peers = configured_peers(&entry);
        running.retain(|peer, token| {
            let keep = peers.contains(peer);
            if !keep {
                token.cancel();
            }
            keep
        });
        for peer in peers {
            running.entry(peer).or_insert_with_key(|peer| {
                let token = stop.child_token();
                tasks.spawn(run_peer(Arc::clone(&entry), peer.clone(), token.clone()));
                token
            });
        }
        tokio::select! {
            () = stop.cancelled() => break,
            changed = revision.changed() => if changed.is_err() { break },
        }
    }
    while tasks.join_next().await.is_some() {}
    Ok(())
}

/// Keeps the connection to one peer until `stop` is cancelled.
async fn run_peer(entry: Arc<Entry>, peer: PeerKey, stop: CancellationToken) {
    match peer {
        PeerKey::Agent(target, address) => agent::run(entry, target, address, stop).await,
        PeerKey::Entry(address) => peer_entry::run(entry, address, stop).await,
    }
}

/// Returns the peers in the active configuration, or the seeds if there is none.
fn configured_peers(entry: &Entry) -> BTreeSet<PeerKey> {
    let seeds = entry.settings.seeds.iter().copied();
    let Ok(fleet) = entry.fleet() else {
        return seeds.map(PeerKey::Entry).collect();
    };
    let agents =
        fleet.targets.iter().map(|target| PeerKey::Agent(target.id.clone(), target.control));
    let entries = select_peer_entries(&fleet, &entry.settings.id).into_iter().map(PeerKey::Entry);
    agents.chain(entries).collect()
}

/// Returns the entries with which entry `id` compares revisions.
///
/// They are selected by rendezvous hashing, so a change of the list affects few of them.
fn select_peer_entries(fleet: &Fleet, id: &str) -> Vec<SocketAddr> {
    let mut ranked: Vec<(String, SocketAddr)> = fleet
        .entries
        .iter()
        .filter(|other| other.id != id)
        .map(|other| (sha256_hex(format!("{id} {}", other.id).as_bytes()), other.control))
        .collect();
    ranked.sort();
    ranked.into_iter().take(MAX_PEER_ENTRIES).map(|(_, address)| address).collect()
}
