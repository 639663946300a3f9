//! Keeps one task for each peer that the configuration names.

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

/// Other entries that an entry compares revisions with.
const PEER_ENTRIES: usize = 3;

/// A peer that needs a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PeerName {
    Agent(String, SocketAddr),
    Entry(SocketAddr),
}

/// Starts and stops the tasks of peers until `stop` is cancelled.
pub(crate) async fn keep_peers(entry: Arc<Entry>, stop: CancellationToken) -> TaskResult {
    let mut revision = entry.revision.subscribe();
    let mut tasks = JoinSet::new();
    let mut running: BTreeMap<PeerName, CancellationToken> = BTreeMap::new();
    loop {
        let wanted = wanted(&entry);
        running.retain(|peer, token| {
            let keep = wanted.contains(peer);
            if !keep {
                token.cancel();
            }
            keep
        });
        for peer in wanted {
            running.entry(peer).or_insert_with_key(|peer| {
                let token = stop.child_token();
                tasks.spawn(run(Arc::clone(&entry), peer.clone(), token.clone()));
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

async fn run(entry: Arc<Entry>, peer: PeerName, stop: CancellationToken) {
    match peer {
        PeerName::Agent(target, address) => agent::run(entry, target, address, stop).await,
        PeerName::Entry(address) => peer_entry::run(entry, address, stop).await,
    }
}

fn wanted(entry: &Entry) -> BTreeSet<PeerName> {
    let seeds = entry.settings.seeds.iter().copied();
    let Ok(fleet) = entry.fleet() else {
        return seeds.map(PeerName::Entry).collect();
    };
    let agents =
        fleet.targets.iter().map(|target| PeerName::Agent(target.id.clone(), target.control));
    let entries = peer_entries(&fleet, &entry.settings.id).into_iter().map(PeerName::Entry);
    agents.chain(entries).collect()
}

/// Returns the entries that `id` compares revisions with, by rendezvous hashing.
fn peer_entries(fleet: &Fleet, id: &str) -> Vec<SocketAddr> {
    let mut others: Vec<(String, SocketAddr)> = fleet
        .entries
        .iter()
        .filter(|other| other.id != id)
        .map(|other| (sha256_hex(format!("{id} {}", other.id).as_bytes()), other.control))
        .collect();
    others.sort();
    others.into_iter().take(PEER_ENTRIES).map(|(_, address)| address).collect()
}
