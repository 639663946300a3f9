//! All known entries, and the selection of the peers that one entry calls.

use super::{Link, contact::Contact};
use crate::ids::ZoneId;
use serde::{Deserialize, Serialize};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};
use twox_hash::XxHash64;

/// Number of peers that are called at once while none of those that would serve has answered.
const FIRST_PROBES: usize = 2;

/// Number of entries with unknown properties that are called at once. One that answers knows the
/// others, and a fleet that starts together would otherwise call each of its seeds with all entries.
const DISCOVERY_CALLS: usize = 3;

/// Time after the start during which only one such entry is called. The calls of 300 entries to
/// each of three seeds with 0.09 of a core would keep these busy for about a second.
const FIRST_DISCOVERY_TIME: Duration = Duration::from_millis(200);

/// Time after its last response during which the relay of another zone counts as present, a few
/// exchange intervals.
const PRESENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a relay without a recent copy of the store calls another entry of its zone.
const BACKUP_ROTATION: Duration = Duration::from_secs(1);

/// Properties of an entry that determine its place in the ranking of its zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Share of a processor core that the entry may use, in thousandths. Larger entries rank
    /// before smaller ones, since a relay has more work than other entries.
    pub cpu_millis: u32,
}

/// The entries that this one knows, itself included.
///
/// Entries are never removed, because a limit that entries share must also hold for entries that
/// are partitioned from this one. A replaced entry keeps its address or adds a new one, which
/// reduces the share of each entry and never increases it.
#[derive(Clone, Debug)]
pub struct Roster {
    own_address: SocketAddr,
    own_info: EntryInfo,
    created_at: Instant,
    /// Known entries; `None` until an entry's properties are known.
    entries: BTreeMap<SocketAddr, Option<EntryInfo>>,
    contacts: BTreeMap<SocketAddr, Contact>,
    /// The entries of each zone, the one that is its relay if it answers first. All entries compute
    /// the same order.
    rankings: BTreeMap<ZoneId, Vec<SocketAddr>>,
    /// Digest of the entries whose properties are known.
    digest: u64,
}

impl Roster {
    /// Returns the roster of the entry at `own_address`, which initially knows only itself and the
    /// addresses of `seeds`.
    pub fn new(
        own_address: SocketAddr,
        own_info: EntryInfo,
        seeds: &[SocketAddr],
        now: Instant,
    ) -> Self {
        let mut roster = Self {
            own_address,
            own_info: own_info.clone(),
            created_at: now,
            entries: seeds.iter().map(|seed| (*seed, None)).collect(),
            contacts: BTreeMap::new(),
            rankings: BTreeMap::new(),
            digest: 0,
        };
        roster.update_entry(own_address, own_info);
        roster
    }

    /// Returns the properties of this entry.
    pub fn own_info(&self) -> &EntryInfo {
        &self.own_info
    }

    /// Adds addresses of entries whose properties are not known, and returns those that are new.
    pub fn add_addresses(&mut self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let is_new = |address: &SocketAddr| !self.entries.contains_key(address);
        let new: Vec<SocketAddr> = addresses.iter().copied().filter(is_new).collect();
        self.entries.extend(new.iter().map(|address| (*address, None)));
        new
    }

    /// Adds entries that a peer knows, and returns the addresses that are new.
    ///
    /// If two peers know different properties of an entry, all entries settle on the greater ones.
    pub fn merge(&mut self, entries: BTreeMap<SocketAddr, EntryInfo>) -> Vec<SocketAddr> {
        let is_known =
            |(address, info)| self.entries.get(address).is_some_and(|known| *known >= Some(info));
        if entries.iter().map(|(address, info)| (address, info.clone())).all(is_known) {
            return Vec::new();
        }
        let new = entries.keys().filter(|address| !self.entries.contains_key(address));
        let new = new.copied().collect();
        for (address, info) in entries {
            self.update_entry(address, info);
        }
        new
    }

    /// Records that the entry at `address` answered a call.
    pub fn record_response(&mut self, address: SocketAddr, now: Instant) {
        self.contacts.entry(address).or_default().record_response(now);
    }

    /// Records that a call to the entry at `address` failed.
    pub fn record_failure(&mut self, address: SocketAddr, now: Instant) {
        self.contacts.entry(address).or_default().record_failure(now);
    }

    /// Returns the number of known entries, including this one; at least 1.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the addresses of all known entries, including this one.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.entries.keys().copied().collect()
    }

    /// Returns the entries whose properties are known.
    pub fn known_entries(&self) -> BTreeMap<SocketAddr, EntryInfo> {
        let known = self.entries.iter();
        known.filter_map(|(address, info)| Some((*address, info.clone()?))).collect()
    }

    /// Returns a digest of the entries whose properties are known, which does not depend on the
    /// order in which they became known.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns whether this entry is the relay of its zone: no entry that ranks before it answers.
    pub fn is_relay(&self) -> bool {
        self.before_own().iter().all(|address| self.contact(address).has_failed())
    }

    /// Returns whether any other entry answers.
    pub fn has_peer(&self) -> bool {
        self.contacts.values().any(Contact::is_verified)
    }

    /// Returns whether this entry is the relay of its zone and knows the properties of all entries
    /// that answer.
    pub fn is_settled_relay(&self) -> bool {
        let unknown = self.entries.iter().filter(|(_, info)| info.is_none());
        self.is_relay()
            && unknown.into_iter().all(|(address, _)| self.contact(address).has_failed())
    }

    /// Returns how many relays of other zones rank before this entry, or `None` if it is no relay.
    ///
    /// All relays compute the same order among those that see each other.
    pub fn relay_rank(&self, now: Instant) -> Option<usize> {
        if !self.is_relay() {
            return None;
        }
        let own_hash = address_hash(&self.own_address);
        let relays = self.other_zones().filter_map(|zone| self.current(self.ranking(zone)));
        let before = relays.filter(|address| {
            self.contact(address).responded_within(PRESENCE_TIMEOUT, now)
                && address_hash(address) < own_hash
        });
        Some(before.count())
    }

    /// Returns the peers to call at `now`.
    ///
    /// An entry calls the relay of its zone, and a relay those of the other zones. A failed peer
    /// that ranks before the one in use is called again after a delay. `stale` says that this entry
    /// has no recent copy of the store, for which a relay also calls an entry of its own zone.
    pub fn links(&self, stale: bool, now: Instant) -> BTreeMap<SocketAddr, Link> {
        let mut links = BTreeMap::new();
        links.extend(self.unknown(now).into_iter().map(|address| (address, Link::Discovery)));
        links.extend(self.select(self.before_own(), now).map(|address| (address, Link::Relay)));
        if !self.is_relay() {
            return links;
        }
        for zone in self.other_zones() {
            let ranking = self.ranking(zone);
            links.extend(self.select(ranking, now).map(|address| (address, Link::Zone)));
        }
        if stale {
            links.extend(self.backup(now).map(|address| (address, Link::Backup)));
        }
        links
    }

    /// Returns the entries with unknown properties to call at `now`, in an order that differs between
    /// entries.
    fn unknown(&self, now: Instant) -> Vec<SocketAddr> {
        let unknown = self.entries.iter().filter(|(_, info)| info.is_none());
        let addresses = unknown.map(|(address, _)| *address);
        let mut callable: Vec<SocketAddr> =
            addresses.filter(|address| !self.is_waiting(address, now)).collect();
        let own_hash = address_hash(&self.own_address);
        callable.sort_by_cached_key(|address| {
            XxHash64::oneshot(own_hash, address.to_string().as_bytes())
        });
        let elapsed = now.saturating_duration_since(self.created_at);
        callable.truncate(if elapsed < FIRST_DISCOVERY_TIME { 1 } else { DISCOVERY_CALLS });
        callable
    }

    /// Returns the first entry of `ranking` that answers, and those before it that may be called
    /// again.
    fn select(
        &self,
        ranking: &[SocketAddr],
        now: Instant,
    ) -> impl Iterator<Item = SocketAddr> + use<> {
        let current = self.current(ranking);
        let before_current = ranking.iter().take_while(|address| Some(**address) != current);
        let probes = before_current.filter(|address| self.contact(address).may_probe(now));
        let count = if current.is_some() { 1 } else { FIRST_PROBES };
        let selected: Vec<SocketAddr> = probes.copied().take(count).chain(current).collect();
        selected.into_iter()
    }

    fn current(&self, ranking: &[SocketAddr]) -> Option<SocketAddr> {
        ranking.iter().copied().find(|address| self.contact(address).is_verified())
    }

    /// Returns an entry of this zone, a different one after each `BACKUP_ROTATION`.
    fn backup(&self, now: Instant) -> Option<SocketAddr> {
        let ranking = self.ranking(&self.own_info.zone).iter();
        let others: Vec<_> = ranking.filter(|address| **address != self.own_address).collect();
        let elapsed = now.saturating_duration_since(self.created_at);
        let turn = (elapsed.as_millis() / BACKUP_ROTATION.as_millis()) as usize;
        others.get(turn.checked_rem(others.len())?).copied().copied()
    }

    /// Returns whether a failed call to `address` is not to be repeated yet.
    fn is_waiting(&self, address: &SocketAddr, now: Instant) -> bool {
        let contact = self.contact(address);
        contact.has_failed() && !contact.may_probe(now)
    }

    /// Returns the entries of this zone that rank before this one.
    fn before_own(&self) -> &[SocketAddr] {
        let ranking = self.ranking(&self.own_info.zone);
        let own = ranking.iter().position(|address| *address == self.own_address);
        &ranking[..own.unwrap_or(0)]
    }

    fn ranking(&self, zone: &ZoneId) -> &[SocketAddr] {
        self.rankings.get(zone).map_or(&[], Vec::as_slice)
    }

    fn other_zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.rankings.keys().filter(|zone| **zone != self.own_info.zone)
    }

    /// Sets the properties of an entry unless greater ones are known.
    ///
    /// Only its own place in the rankings changes: a seed that 300 entries call at their start
    /// learns of them one by one.
    fn update_entry(&mut self, address: SocketAddr, info: EntryInfo) {
        let known = self.entries.entry(address).or_default();
        if known.as_ref() >= Some(&info) {
            return;
        }
        self.digest ^= entry_hash(&address, &info);
        let zone = info.zone.clone();
        if let Some(old) = known.replace(info) {
            self.digest ^= entry_hash(&address, &old);
            if let Some(ranking) = self.rankings.get_mut(&old.zone) {
                ranking.retain(|other| *other != address);
            }
            self.rankings.retain(|_, ranking| !ranking.is_empty());
        }
        let key = rank_key(&self.entries, address);
        let ranking = self.rankings.entry(zone).or_default();
        let place = ranking.partition_point(|other| rank_key(&self.entries, *other) < key);
        ranking.insert(place, address);
    }

    fn contact(&self, address: &SocketAddr) -> Contact {
        self.contacts.get(address).copied().unwrap_or_default()
    }
}

/// Returns the sort key of a known entry in the ranking of its zone.
fn rank_key(
    entries: &BTreeMap<SocketAddr, Option<EntryInfo>>,
    address: SocketAddr,
) -> (Reverse<u32>, u64, SocketAddr) {
    let info = entries.get(&address).and_then(Option::as_ref);
    let cpu_millis = info.map_or(0, |info| info.cpu_millis);
    (Reverse(cpu_millis), address_hash(&address), address)
}

fn entry_hash(address: &SocketAddr, info: &EntryInfo) -> u64 {
    let text = format!("{address} {} {}", info.zone, info.cpu_millis);
    XxHash64::oneshot(0, text.as_bytes())
}

fn address_hash(address: &SocketAddr) -> u64 {
    XxHash64::oneshot(0, address.to_string().as_bytes())
}
