//! Tests of copies of the store, their freshness and the deltas between entries.

use fulmarhead_lib::replica::{Change, Freshness, Item, ListRecovery, Replica};
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

fn keys_and_revisions(replica: &Replica) -> Vec<(&str, u64)> {
    replica.items().values().map(|item| (item.key.as_str(), item.revision)).collect()
}

fn check_apply(changes: Vec<Change>, expected: &[(&str, u64)]) {
    let mut replica = Replica::default();
    replica.load_snapshot(5, vec![item("a", 3), item("b", 5)]);
    replica.apply(9, changes);
    assert_eq!(keys_and_revisions(&replica), expected);
    assert_eq!(replica.revision(), 9);
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
    assert!(replica.load_snapshot(5, vec![item("a", 5)]));
    assert!(!replica.load_snapshot(4, vec![]));
    assert_eq!(keys_and_revisions(&replica), [("a", 5)]);
}

/// Guards against a delta from a peer whose copy is older than the receiver's.
#[test]
fn delta_of_an_older_copy_is_ignored() {
    let mut old = Replica::default();
    old.load_snapshot(5, vec![item("a", 5)]);
    let delta = old.delta(0).unwrap();
    let mut new = Replica::default();
    new.load_snapshot(6, vec![item("b", 6)]);
    assert!(!new.merge(delta));
    assert_eq!(keys_and_revisions(&new), [("b", 6)]);
    assert_eq!(old.delta(5), None);
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
        full.apply(changes.len() as u64, changes.clone());
        partial.apply(base_revision as u64, changes[..base_revision].to_vec());
        if let Some(delta) = full.delta(partial.revision()) {
            partial.merge(delta);
        }
        full.items() == partial.items() && full.revision() == partial.revision()
    }
    let generator = Gen::from_size_and_seed(30, 7);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<(u8, bool)>, u8) -> bool);
}

/// Guards against a target that comes back into the list by a held-up answer of the store, after a
/// peer has told that it has left.
#[test]
fn late_write_does_not_revive_a_deleted_item() {
    let mut replica = Replica::default();
    replica.load_snapshot(5, vec![item("a", 3), item("b", 5)]);
    let mut peer = replica.clone();
    peer.apply(7, vec![written("a", 6), deleted("a", 7)]);
    assert!(replica.merge(peer.delta(5).unwrap()));
    // The watch that began at revision 5.
    replica.apply(6, vec![written("a", 6)]);
    assert_eq!(keys_and_revisions(&replica), [("b", 5)]);
    assert_eq!(replica.revision(), 7);
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
        full.apply(changes.len() as u64, changes.clone());
        late.apply(begin as u64, changes[..begin].to_vec());
        if let Some(delta) = full.delta(late.revision()) {
            late.merge(delta);
        }
        late.apply(end as u64, changes[begin..end].to_vec());
        full.items() == late.items() && full.revision() == late.revision()
    }
    let generator = Gen::from_size_and_seed(30, 7);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<(u8, bool)>, u8, u8) -> bool);
}
