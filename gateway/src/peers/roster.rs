//! Addresses of all known entries, and which of them are present.

use fulmarhead_lib::ids::ZoneId;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};
use twox_hash::XxHash64;

/// Time after its last response during which a peer counts as present, a few exchange intervals.
const PRESENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The control addresses of all entries that this one knows, including its own.
///
/// Addresses are never removed, because a limit that entries share must also hold for entries that
/// are partitioned from this one. A replaced entry keeps its address or adds a new one, which
/// reduces the share of each entry and never increases it.
#[derive(Debug)]
pub(crate) struct Roster {
    own_address: SocketAddr,
    state: Mutex<RosterState>,
}

#[derive(Debug)]
struct RosterState {
    known: BTreeSet<SocketAddr>,
    presences: BTreeMap<SocketAddr, Presence>,
}

/// Last response of a peer.
#[derive(Debug)]
struct Presence {
    last_response: Instant,
    zone: ZoneId,
}

impl Roster {
    /// Returns the roster of the entry at `own_address`, which initially knows `seeds`.
    pub(crate) fn new(own_address: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let known = seeds.iter().copied().chain([own_address]).collect();
        Self { own_address, state: Mutex::new(RosterState { known, presences: BTreeMap::new() }) }
    }

    /// Adds addresses and returns those that are new.
    pub(crate) fn add(&self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut state = self.lock();
        addresses.iter().copied().filter(|address| state.known.insert(*address)).collect()
    }

    /// Records that the entry at `address` in `zone` responded at `now`.
    pub(crate) fn record_response(&self, address: SocketAddr, zone: ZoneId, now: Instant) {
        self.lock().presences.insert(address, Presence { last_response: now, zone });
    }

    /// Returns the zone of the entry at `address`, if it has ever responded.
    pub(crate) fn zone(&self, address: SocketAddr) -> Option<ZoneId> {
        self.lock().presences.get(&address).map(|presence| presence.zone.clone())
    }

    /// Returns the number of entries that are present at `now` and whose address has a smaller hash
    /// than the address of this one. All entries compute the same order, and hashing spreads the
    /// first ranks over the zones.
    pub(crate) fn rank(&self, now: Instant) -> usize {
        self.count_before(now, |_| true)
    }

    /// Returns this entry's rank among the entries of `zone`.
    pub(crate) fn rank_in_zone(&self, zone: &ZoneId, now: Instant) -> usize {
        self.count_before(now, |presence| presence.zone == *zone)
    }

    fn count_before(&self, now: Instant, filter: impl Fn(&Presence) -> bool) -> usize {
        let own_hash = address_hash(&self.own_address);
        let state = self.lock();
        let present = state.presences.iter().filter(|(_, presence)| {
            now.saturating_duration_since(presence.last_response) <= PRESENCE_TIMEOUT
                && filter(presence)
        });
        present.filter(|(address, _)| address_hash(address) < own_hash).count()
    }

    /// Returns all known addresses, in ascending order.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().known.iter().copied().collect()
    }

    /// Returns a digest of all known addresses, which does not depend on their order.
    pub(crate) fn digest(&self) -> u64 {
        self.lock().known.iter().map(address_hash).fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns the known addresses without that of this entry.
    pub(crate) fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        self.lock().known.iter().copied().filter(|address| *address != self.own_address).collect()
    }

    /// Returns the number of known entries, including this one; at least 1.
    pub(crate) fn entry_count(&self) -> usize {
        self.lock().known.len()
    }

    fn lock(&self) -> MutexGuard<'_, RosterState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

fn address_hash(address: &SocketAddr) -> u64 {
    XxHash64::oneshot(0, address.to_string().as_bytes())
}
