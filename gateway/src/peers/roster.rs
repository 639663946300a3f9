//! The addresses of entries.

use fulmarhead_lib::ids::ZoneId;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};
use twox_hash::XxHash64;

/// Time after the last answer of a peer in which it counts as present; a few exchanges.
const PRESENCE_TIME: Duration = Duration::from_secs(1);

/// The control addresses of all entries that this one has heard of, itself included.
///
/// An address is never forgotten: a bound that entries share must hold also for those that are
/// cut off. An entry that is replaced keeps its address or adds one, which makes the shares
/// smaller, never larger.
#[derive(Debug)]
pub(crate) struct Roster {
    own: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    known: BTreeSet<SocketAddr>,
    answered: BTreeMap<SocketAddr, Presence>,
}

/// The last answer of a peer.
#[derive(Debug)]
struct Presence {
    at: Instant,
    zone: ZoneId,
}

impl Roster {
    /// Returns the roster of the entry at `own`, which knows `seeds` at its start.
    pub(crate) fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let known = seeds.iter().copied().chain([own]).collect();
        Self { own, state: Mutex::new(State { known, answered: BTreeMap::new() }) }
    }

    /// Adds addresses; returns those that are new.
    pub(crate) fn learn(&self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut state = self.lock();
        addresses.iter().copied().filter(|address| state.known.insert(*address)).collect()
    }

    /// Records that the entry at `address` in `zone` has answered at `now`.
    pub(crate) fn answered(&self, address: SocketAddr, zone: ZoneId, now: Instant) {
        self.lock().answered.insert(address, Presence { at: now, zone });
    }

    /// Returns the zone of the entry at `address`, if it has answered.
    pub(crate) fn zone(&self, address: SocketAddr) -> Option<ZoneId> {
        self.lock().answered.get(&address).map(|presence| presence.zone.clone())
    }

    /// Returns how many of the entries that are present at `now` come before this one, in an
    /// order that all entries share and that mixes the zones.
    pub(crate) fn rank(&self, now: Instant) -> usize {
        self.count_before(now, |_| true)
    }

    /// Returns the rank among the entries of `zone`.
    pub(crate) fn rank_in(&self, zone: &ZoneId, now: Instant) -> usize {
        self.count_before(now, |presence| presence.zone == *zone)
    }

    fn count_before(&self, now: Instant, counts: impl Fn(&Presence) -> bool) -> usize {
        let own = order(&self.own);
        let state = self.lock();
        let present = state.answered.iter().filter(|(_, presence)| {
            now.saturating_duration_since(presence.at) <= PRESENCE_TIME && counts(presence)
        });
        present.filter(|(address, _)| order(address) < own).count()
    }

    /// Returns all addresses.
    pub(crate) fn all(&self) -> Vec<SocketAddr> {
        self.lock().known.iter().copied().collect()
    }

    /// Returns a digest of all addresses.
    pub(crate) fn digest(&self) -> u64 {
        self.lock().known.iter().map(order).fold(0, |digest, order| digest ^ order)
    }

    /// Returns the addresses of the other entries.
    pub(crate) fn others(&self) -> BTreeSet<SocketAddr> {
        self.lock().known.iter().copied().filter(|address| *address != self.own).collect()
    }

    /// Returns the number of entries, this one included.
    pub(crate) fn size(&self) -> usize {
        self.lock().known.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

fn order(address: &SocketAddr) -> u64 {
    XxHash64::oneshot(0, address.to_string().as_bytes())
}
