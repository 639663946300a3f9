//! Tests of copies of the store, their freshness and the deltas between entries.

use fulmarhead_lib::replica::{Change, Freshness, Item, ListRecovery, Position, Replica};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;
use testutils::cases;

fn item(key: &str, revision: u64) -> Item {
    Item { key: key.into(), value: revision.to_string().into_bytes(), revision }
}

fn written(key: &str, revision: u64) -> Change {
    Change::Written(item(key, revision))
}

fn deleted(key: &str, revision: u64) -> Change {
    Change::Deleted { key: key.into(), revision }
}

fn at(revision: u64) -> Position {
    Position::new(1, revision)
}

fn keys_and_revisions(replica: &Replica) -> Vec<(&str, u64)> {
    replica.items().values().map(|item| (item.key.as_str(), item.revision)).collect()
}

fn check_apply(changes: Vec<Change>, expected: &[(&str, u64)]) {
    let mut replica = Replica::default();
    replica.load_snapshot(at(5), vec![item("a", 3), item("b", 5)]);
    assert!(replica.apply(5, at(9), changes));
    assert_eq!(keys_and_revisions(&replica), expected);
    assert_eq!(replica.position(), at(9));
}

fn check_freshness(confirmed: &[u64], now: u64, max_age: u64, expected: bool) {
    let mut freshness = Freshness::default();
    for &at in confirmed {
        freshness.confirm(Duration::from_secs(at));
    }
    let within = freshness.is_within(Duration::from_secs(max_age), Duration::from_secs(now));
    assert_eq!(within, expected);
}

/// Checks for how many milliseconds from `now` on targets may be missing from a list that was
/// confirmed at these times, in milliseconds. Their entries lapse after 2,400 ms at the earliest.
fn check_recovery(confirmed: &[u64], now: u64, expected: u64) {
    let mut recovery = ListRecovery::new(Duration::from_millis(1_200));
    for &at in confirmed {
        recovery.confirm(Duration::from_millis(at));
    }
    assert_eq!(recovery.remaining(Duration::from_millis(now)), Duration::from_millis(expected));
}

/// Guards against a return that is not noticed because the store was away too briefly for records to
/// lapse, and a grace period that later lists prolong.
#[test]
fn return_from_a_copy_begins_a_recovery() {
    let at = Duration::from_millis;
    let mut recovery = ListRecovery::new(at(1_200));
    recovery.confirm(at(1_000));
    recovery.record_return(at(1_500));
    recovery.confirm(at(2_100));
    assert_eq!(recovery.remaining(at(2_500)), at(1_300));
    assert_eq!(recovery.remaining(at(3_800)), Duration::ZERO);
}

cases! {
    check_recovery {
        never_read: (&[], 5_000, 0),
        steady: (&[1_000, 2_000, 3_000], 3_500, 0),
        /// Guards against targets that are used after they have left, because of a cut that is too
        /// short for entries to lapse.
        short_cut: (&[1_000, 3_300], 3_400, 0),
        /// Guards against having no targets when the store returns.
        during_an_outage: (&[1_000], 5_000, 2_300),
        after_an_outage: (&[1_000, 5_000], 5_100, 2_200),
        /// Guards against a grace period that each new list prolongs.
        later_lists: (&[1_000, 5_000, 5_600, 6_200], 6_300, 1_000),
        recovery_is_over: (&[1_000, 5_000, 5_600, 6_200, 6_800, 7_300], 7_300, 0),
        /// Guards against an outage that a late report of an earlier confirmation seems to show.
        late_confirmation: (&[3_000, 500, 4_000], 4_100, 0),
    }

    check_apply {
        no_changes: (vec![], &[("a", 3), ("b", 5)]),
        write: (vec![written("a", 7)], &[("a", 7), ("b", 5)]),
        delete: (vec![deleted("a", 7)], &[("b", 5)]),
        /// Guards against an older change that reverts an item of the snapshot.
        older_than_the_snapshot: (vec![deleted("b", 4), written("b", 4)], &[("a", 3), ("b", 5)]),
        deleted_and_written_again: (vec![deleted("a", 6), written("a", 8)], &[("a", 8), ("b", 5)]),
    }

    check_freshness {
        /// Guards against treating a copy as fresh before anything was read.
        never_confirmed: (&[], 1, 5, false),
        fresh: (&[10], 14, 5, true),
        old: (&[10], 16, 5, false),
        /// Guards against a late confirmation that makes the copy appear older.
        newest_confirmation_counts: (&[14, 10], 16, 5, true),
    }
}

/// Guards against a store that returns an older snapshot.
#[test]
fn snapshot_of_an_older_revision_is_ignored() {
    let mut replica = Replica::default();
    assert!(replica.load_snapshot(at(5), vec![item("a", 5)]));
    assert!(!replica.load_snapshot(at(4), vec![]));
    assert_eq!(keys_and_revisions(&replica), [("a", 5)]);
}

/// Guards against a delta from a peer whose copy is older than the receiver's.
#[test]
fn delta_of_an_older_copy_is_ignored() {
    let mut old = Replica::default();
    old.load_snapshot(at(5), vec![item("a", 5)]);
    let delta = old.delta(Position::default()).unwrap();
    let mut new = Replica::default();
    new.load_snapshot(at(6), vec![item("b", 6)]);
    assert!(!new.merge(delta));
    assert_eq!(keys_and_revisions(&new), [("b", 6)]);
    assert_eq!(old.delta(at(5)), None);
}

/// Checks that a copy that merges a delta at any point of a history equals one that applied every
/// change.
#[test]
fn merged_copy_equals_watched_copy() {
    fn property(history: Vec<(u8, bool)>, base_revision: u8) -> bool {
        let base_revision = usize::from(base_revision) % (history.len() + 1);
        let change = |(index, (key, write)): (usize, &(u8, bool))| {
            let (key, revision) = (format!("k{}", key % 5), index as u64 + 1);
            if *write { written(&key, revision) } else { deleted(&key, revision) }
        };
        let changes: Vec<Change> = history.iter().enumerate().map(change).collect();
        let (mut full, mut partial) = (Replica::default(), Replica::default());
        full.apply(0, Position::new(0, changes.len() as u64), changes.clone());
        partial.apply(0, Position::new(0, base_revision as u64), changes[..base_revision].to_vec());
        if let Some(delta) = full.delta(partial.position()) {
            partial.merge(delta);
        }
        full.items() == partial.items() && full.position() == partial.position()
    }
    let generator = Gen::from_size_and_seed(30, 7);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<(u8, bool)>, u8) -> bool);
}

/// Guards against a target that comes back into the list by a held-up answer of the store, after a
/// peer has told that it has left.
#[test]
fn late_write_does_not_revive_a_deleted_item() {
    let mut replica = Replica::default();
    replica.load_snapshot(at(5), vec![item("a", 3), item("b", 5)]);
    let mut peer = replica.clone();
    peer.apply(5, at(7), vec![written("a", 6), deleted("a", 7)]);
    assert!(replica.merge(peer.delta(at(5)).unwrap()));
    // The watch that began at revision 5.
    replica.apply(5, at(6), vec![written("a", 6)]);
    assert_eq!(keys_and_revisions(&replica), [("b", 5)]);
    assert_eq!(replica.position(), at(7));
}

/// Checks that answers of watches that arrive after a delta of a peer change nothing, whichever
/// part of the history they hold.
#[test]
fn late_answers_change_nothing() {
    fn property(history: Vec<(u8, bool)>, from: u8, to: u8) -> bool {
        let change = |(index, (key, write)): (usize, &(u8, bool))| {
            let (key, revision) = (format!("k{}", key % 5), index as u64 + 1);
            if *write { written(&key, revision) } else { deleted(&key, revision) }
        };
        let changes: Vec<Change> = history.iter().enumerate().map(change).collect();
        let end = usize::from(to) % (changes.len() + 1);
        let begin = usize::from(from) % (end + 1);
        let (mut full, mut late) = (Replica::default(), Replica::default());
        full.apply(0, Position::new(0, changes.len() as u64), changes.clone());
        late.apply(0, Position::new(0, begin as u64), changes[..begin].to_vec());
        if let Some(delta) = full.delta(late.position()) {
            late.merge(delta);
        }
        late.apply(begin as u64, Position::new(0, end as u64), changes[begin..end].to_vec());
        full.items() == late.items() && full.position() == late.position()
    }
    let generator = Gen::from_size_and_seed(30, 7);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<(u8, bool)>, u8, u8) -> bool);
}

/// A store that can come back from a copy, with the replicas of two entries.
#[derive(Default)]
struct Store {
    position: Position,
    /// Changes of the present era and those before the copy that it began with.
    history: Vec<Change>,
    replicas: [Replica; 2],
}

impl Store {
    fn items(&self) -> Vec<Item> {
        let mut present = Replica::default();
        present.apply(0, Position::new(0, self.position.revision), self.history.clone());
        present.items().values().cloned().collect()
    }

    fn write(&mut self, key: u8, write: bool) {
        self.position.revision += 1;
        let (key, revision) = (format!("k{}", key % 5), self.position.revision);
        // The value differs between eras that give the same revision out.
        let value = format!("{}", self.position).into_bytes();
        self.history.push(match write {
            true => Change::Written(Item { key, value, revision }),
            false => Change::Deleted { key, revision },
        });
    }

    fn return_from(&mut self, lost: u8) {
        let revision = self.position.revision.saturating_sub(u64::from(lost % 8));
        self.position = Position::new(self.position.era + 1, revision);
        self.history.truncate(revision as usize);
    }

    /// Answers a watch of an entry, with a snapshot if the store does not have its revision.
    fn read(&mut self, entry: usize) {
        let base = self.replicas[entry].position();
        let (position, items) = (self.position, self.items());
        let changes = self.history.iter().filter(|change| change.revision() > base.revision);
        let known = base.revision > 0 && base.revision <= position.revision;
        if !known
            || !self.replicas[entry].apply(base.revision, position, changes.cloned().collect())
        {
            assert!(self.replicas[entry].load_snapshot(position, items));
        }
    }

    fn exchange(&mut self, from: usize) {
        let to = 1 - from;
        if let Some(delta) = self.replicas[from].delta(self.replicas[to].position()) {
            self.replicas[to].merge(delta);
        }
    }
}

/// Guards against items of a lost history, or items of the new one that are missing, whichever way
/// the entries learn of a store that has come back from a copy, once or several times.
#[test]
fn copies_follow_a_store_that_returns() {
    fn property(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut store = Store::default();
        store.write(0, true);
        for (step, argument, flag) in steps {
            match step % 8 {
                0 => store.return_from(argument),
                1 | 2 => store.read(usize::from(flag)),
                3 | 4 => store.exchange(usize::from(flag)),
                _ => store.write(argument, flag),
            }
        }
        store.read(0);
        store.exchange(0);
        let expected = store.items();
        store.replicas.iter().all(|replica| {
            let items: Vec<Item> = replica.items().values().cloned().collect();
            items == expected && replica.position() == store.position
        })
    }
    let generator = Gen::from_size_and_seed(60, 7);
    QuickCheck::new()
        .tests(2_000)
        .rng(generator)
        .quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

/// Returns a replica at `position` with an item of each of `revisions`.
fn replica_at(position: Position, revisions: &[u64]) -> Replica {
    let mut replica = Replica::default();
    let items = revisions.iter().map(|&revision| item(&format!("k{revision}"), revision));
    replica.load_snapshot(position, items.collect());
    replica
}

/// Checks the position of a replica at `own` after the delta of a peer at `peer`, and that it has the
/// peer's items exactly if it takes the delta.
fn check_delta(own: (u64, u64), peer: (u64, u64), base: (u64, u64), taken: bool) {
    let position = |(era, revision)| Position::new(era, revision);
    let (own, peer) = (position(own), position(peer));
    let mut replica = replica_at(own, &[1, 2]);
    let sender = replica_at(peer, &[1, 3]);
    assert_eq!(replica.merge(sender.delta(position(base)).unwrap()), taken);
    let expected = if taken { &sender } else { &replica_at(own, &[1, 2]) };
    assert_eq!(keys_and_revisions(&replica), keys_and_revisions(expected));
    assert_eq!(replica.position(), if taken { peer } else { own });
}

cases! {
    check_delta {
        /// Guards against a peer's copy of the new era that is refused because of its revision.
        delta_of_a_new_era: ((1, 9), (2, 3), (1, 9), true),
        delta_after_two_returns: ((1, 9), (3, 3), (1, 9), true),
        /// Guards against a copy of a former era that replaces a newer one.
        delta_of_a_former_era: ((2, 3), (1, 9), (0, 0), false),
        /// Guards against a gap between the base of the delta and the copy, which has moved on to
        /// another era since it asked.
        delta_for_a_former_era: ((2, 2), (3, 4), (3, 2), false),
        complete_delta_after_own_read: ((2, 2), (2, 4), (1, 9), true),
        delta_older_than_own_read: ((2, 5), (2, 4), (1, 9), false),
    }
}

/// Guards against a gap in a copy that has moved on to the era of an answer while the call waited.
#[test]
fn changes_after_a_revision_that_the_copy_has_not_reached_are_refused() {
    let mut replica = replica_at(Position::new(2, 3), &[1, 3]);
    assert!(!replica.apply(5, Position::new(2, 7), vec![written("a", 6)]));
    assert!(!replica.apply(3, Position::new(1, 7), vec![written("a", 6)]));
    assert!(!replica.apply(3, Position::new(3, 7), vec![written("a", 6)]));
    assert_eq!(replica, replica_at(Position::new(2, 3), &[1, 3]));
}
