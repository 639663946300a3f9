//! Tests of the selection of the peers that an entry calls, with fleets of rosters that call each
//! other without a network.

use fulmarhead_lib::{
    clock::Clock,
    membership::{EntryInfo, Link, Roster},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};
use testutils::{ManualClock, cases};

/// Time between the rounds of calls.
const ROUND: Duration = Duration::from_millis(100);

/// Rounds within which all entries must have settled on relays: a few for the news of the entries
/// to spread, and the time after which an entry whose relay is silent has called the next ones.
const ROUNDS_TO_SETTLE: usize = 30;

/// Number of the largest entries of each zone.
const LARGE_ENTRIES: u16 = 2;

/// A fleet in which each entry calls its links once a round.
struct Fleet {
    clock: ManualClock,
    rosters: BTreeMap<SocketAddr, Roster>,
    stopped: BTreeSet<SocketAddr>,
    /// Zones that the other zones can't reach.
    cut_zones: BTreeSet<String>,
}

impl Fleet {
    /// Returns a fleet of `zones` zones with `per_zone` entries each, of which the first entry of
    /// the first three zones is a seed.
    fn new(zones: u16, per_zone: u16) -> Self {
        let clock = ManualClock::default();
        let now = clock.now();
        let seeds: Vec<SocketAddr> = (0..zones.min(3)).map(|zone| address(zone, 0)).collect();
        let all = (0..zones).flat_map(|zone| (0..per_zone).map(move |number| (zone, number)));
        let rosters = all.map(|(zone, number)| {
            let cpu_millis = if number < LARGE_ENTRIES { 500 } else { 90 };
            let info = EntryInfo { zone: format!("z{zone}"), cpu_millis };
            let own = address(zone, number);
            (own, Roster::new(own, info, &seeds, now))
        });
        let rosters = rosters.collect();
        Self { clock, rosters, stopped: BTreeSet::new(), cut_zones: BTreeSet::new() }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn zone(&self, address: SocketAddr) -> &str {
        &self.rosters[&address].own_info().zone
    }

    fn can_reach(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let is_cut = |address| self.cut_zones.contains(self.zone(address));
        let same_zone = self.zone(from) == self.zone(to);
        !self.stopped.contains(&to) && (same_zone || !(is_cut(from) || is_cut(to)))
    }

    fn links(&self, address: SocketAddr) -> BTreeMap<SocketAddr, Link> {
        self.rosters[&address].links(false, self.now())
    }

    fn running(&self) -> Vec<SocketAddr> {
        let running = self.rosters.keys().filter(|address| !self.stopped.contains(address));
        running.copied().collect()
    }

    /// Lets each running entry call its links once.
    fn play_round(&mut self) {
        for from in self.running() {
            for to in self.links(from).into_keys() {
                self.call(from, to);
            }
        }
        self.clock.advance(ROUND);
    }

    fn call(&mut self, from: SocketAddr, to: SocketAddr) {
        let now = self.now();
        let reached = self.can_reach(from, to);
        let known = self.rosters[&from].known_entries();
        if !reached {
            self.rosters.get_mut(&from).unwrap().record_failure(to, now);
            return;
        }
        let callee = self.rosters.get_mut(&to).unwrap();
        callee.merge(known);
        let known = callee.known_entries();
        let caller = self.rosters.get_mut(&from).unwrap();
        caller.merge(known);
        caller.record_response(to, now);
    }

    fn settle(&mut self) {
        for _ in 0..ROUNDS_TO_SETTLE {
            self.play_round();
        }
    }

    /// Returns the running entries that are relays, by zone.
    fn relays(&self) -> BTreeMap<String, Vec<SocketAddr>> {
        let mut relays: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
        for address in self.running() {
            if self.rosters[&address].is_relay() {
                relays.entry(self.zone(address).to_owned()).or_default().push(address);
            }
        }
        relays
    }

    /// Returns the number of rounds after which news of `source` has reached all running entries,
    /// if each entry tells the news in its calls and hears it in the responses.
    fn rounds_to_spread(&mut self, source: SocketAddr) -> Option<usize> {
        let mut informed = BTreeSet::from([source]);
        for round in 1..=ROUNDS_TO_SETTLE {
            let before = informed.clone();
            for from in self.running() {
                for to in self.links(from).into_keys().filter(|to| self.can_reach(from, *to)) {
                    if before.contains(&from) || before.contains(&to) {
                        informed.extend([from, to]);
                    }
                }
            }
            self.play_round();
            if self.running().iter().all(|address| informed.contains(address)) {
                return Some(round);
            }
        }
        None
    }

    /// Checks that each of `zones` has one relay, that all entries call a bounded number of peers,
    /// and that news crosses the fleet in three rounds: to the relay, to the other relays, and from
    /// there to their entries.
    fn check_settled(&mut self, zones: usize) {
        let relays = self.relays();
        assert_eq!(relays.len(), zones);
        assert!(relays.values().all(|relays| relays.len() == 1), "{relays:?}");
        for address in self.running() {
            let links = self.links(address);
            let of_kind = |kind| links.values().filter(|link| **link == kind).count();
            // One more link of each kind calls a failed peer again.
            assert!(of_kind(Link::Relay) <= 2, "{links:?}");
            assert!(of_kind(Link::Zone) <= 2 * self.relays().len().max(5), "{links:?}");
            let is_relay = self.rosters[&address].is_relay();
            assert!(is_relay || of_kind(Link::Zone) == 0, "{links:?}");
        }
        for source in [self.running()[0], *self.running().last().unwrap()] {
            let rounds = self.rounds_to_spread(source);
            assert!(rounds.is_some_and(|rounds| rounds <= 3), "{rounds:?} rounds");
        }
    }
}

fn address(zone: u16, number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, zone as u8, number as u8], 8229))
}

/// Starts all entries at once and checks where they settle.
fn check_start(zones: u16, per_zone: u16) {
    let mut fleet = Fleet::new(zones, per_zone);
    fleet.settle();
    fleet.check_settled(usize::from(zones));
    let count = fleet.rosters.len();
    assert!(fleet.rosters.values().all(|roster| roster.entry_count() == count));
}

/// Stops `stopped` of the entries of each zone, those that rank first, and checks where the others
/// settle, also after the stopped ones are back.
fn check_loss(zones: u16, per_zone: u16, stopped: usize) {
    let mut fleet = Fleet::new(zones, per_zone);
    fleet.settle();
    for _ in 0..stopped {
        let relays: Vec<SocketAddr> = fleet.relays().into_values().flatten().collect();
        fleet.stopped.extend(relays);
        fleet.settle();
    }
    fleet.check_settled(usize::from(zones));
    let first_relays = fleet.relays();
    fleet.stopped.clear();
    fleet.settle();
    fleet.check_settled(usize::from(zones));
    assert_ne!(fleet.relays(), first_relays);
}

/// Guards against entries of a zone that is cut off, or of the others, which find no relay, and
/// against halves of the fleet that stay apart after the cut.
#[test]
fn zone_cut_and_healed() {
    let mut fleet = Fleet::new(5, 20);
    fleet.settle();
    fleet.cut_zones.insert("z2".into());
    fleet.settle();
    assert!(fleet.relays().values().all(|relays| relays.len() == 1));
    for address in fleet.running() {
        let uses_peer = fleet.links(address).into_keys().any(|to| fleet.can_reach(address, to));
        assert!(uses_peer || fleet.rosters[&address].is_relay());
    }
    fleet.cut_zones.clear();
    fleet.settle();
    fleet.check_settled(5);
}

/// Guards against a relay that can't read the store and asks no other entry for its copy.
#[test]
fn stale_relay_calls_entries_of_its_zone() {
    let mut fleet = Fleet::new(1, 4);
    fleet.settle();
    let [relay] = fleet.relays()["z0"][..] else { panic!("one relay") };
    let mut called = BTreeSet::new();
    for _ in 0..40 {
        let links = fleet.rosters[&relay].links(true, fleet.now());
        called.extend(links.iter().filter(|(_, link)| **link == Link::Backup).map(|(to, _)| *to));
        fleet.clock.advance(ROUND);
    }
    let others: BTreeSet<SocketAddr> =
        fleet.running().into_iter().filter(|address| *address != relay).collect();
    assert_eq!(called, others);
}

/// Guards against a ranking of relays in which two entries take the same place, or none the first.
#[test]
fn relays_rank_alike() {
    let mut fleet = Fleet::new(5, 20);
    fleet.settle();
    let relays: Vec<SocketAddr> = fleet.relays().into_values().flatten().collect();
    let rank = |address: &SocketAddr| fleet.rosters[address].relay_rank(fleet.now());
    let ranks: BTreeSet<Option<usize>> = relays.iter().map(rank).collect();
    assert_eq!(ranks, (0..5).map(Some).collect());
}

cases! {
    check_start {
        /// Guards against entries that do not find each other through the seeds.
        starts_with_one_zone: (1, 12),
        starts_with_small_zones: (3, 2),
        starts_at_full_size: (5, 20),
    }
    check_loss {
        /// Guards against a fleet that is split after the loss of its relays, or that does not
        /// return to them.
        loses_relays: (5, 20, 1),
        loses_successors: (5, 20, 4),
        loses_all_but_one: (3, 4, 3),
    }
}
