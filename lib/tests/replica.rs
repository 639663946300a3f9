//! Copies of the store, their age, and what entries pass on to each other.

use fulmarhead_lib::replica::{Change, Freshness, Item, Replica};
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

fn keys(replica: &Replica) -> Vec<(&str, u64)> {
    replica.items().values().map(|item| (item.key.as_str(), item.revision)).collect()
}

fn check_apply(changes: Vec<Change>, expected: &[(&str, u64)]) {
    let mut replica = Replica::default();
    replica.reset(5, vec![item("a", 3), item("b", 5)]);
    replica.apply(9, changes);
    assert_eq!(keys(&replica), expected);
    assert_eq!(replica.at(), 9);
}

fn check_age(confirmed: &[u64], now: u64, bound: u64, expected: bool) {
    let mut freshness = Freshness::default();
    for &at in confirmed {
        freshness.confirm(Duration::from_secs(at));
    }
    let within = freshness.within(Duration::from_secs(bound), Duration::from_secs(now));
    assert_eq!(within, expected);
}

cases! {
    check_apply {
        nothing: (vec![], &[("a", 3), ("b", 5)]),
        write: (vec![written("a", 7)], &[("a", 7), ("b", 5)]),
        delete: (vec![deleted("a", 7)], &[("b", 5)]),
        /// Guards against a change that the snapshot holds already and that would undo it.
        older_than_the_snapshot: (vec![deleted("b", 4), written("b", 4)], &[("a", 3), ("b", 5)]),
        again: (vec![deleted("a", 6), written("a", 8)], &[("a", 8), ("b", 5)]),
    }

    check_age {
        /// Guards against keys that are trusted before anything was read.
        never: (&[], 1, 5, false),
        fresh: (&[10], 14, 5, true),
        old: (&[10], 16, 5, false),
        /// Guards against an answer that came late and makes the copy look older.
        newest_counts: (&[14, 10], 16, 5, true),
    }
}

/// Guards against a store that answers from the past.
#[test]
fn snapshot_of_an_older_revision_is_ignored() {
    let mut replica = Replica::default();
    assert!(replica.reset(5, vec![item("a", 5)]));
    assert!(!replica.reset(4, vec![]));
    assert_eq!(keys(&replica), [("a", 5)]);
}

/// Guards against a peer that lost track and gives less than the receiver has.
#[test]
fn delta_of_an_older_copy_is_ignored() {
    let mut old = Replica::default();
    old.reset(5, vec![item("a", 5)]);
    let delta = old.delta(0).unwrap();
    let mut new = Replica::default();
    new.reset(6, vec![item("b", 6)]);
    assert!(!new.merge(delta));
    assert_eq!(keys(&new), [("b", 6)]);
    assert_eq!(old.delta(5), None);
}

/// A copy that merges a delta at any point of a history equals one that followed all of it.
#[test]
fn merged_copy_equals_the_followed_one() {
    fn property(history: Vec<(u8, bool)>, behind: u8) -> bool {
        let behind = usize::from(behind) % (history.len() + 1);
        let change = |(index, (key, write)): (usize, &(u8, bool))| {
            let (key, revision) = (format!("k{}", key % 5), index as u64 + 1);
            if *write { written(&key, revision) } else { deleted(&key, revision) }
        };
        let changes: Vec<Change> = history.iter().enumerate().map(change).collect();
        let (mut full, mut part) = (Replica::default(), Replica::default());
        full.apply(changes.len() as u64, changes.clone());
        part.apply(behind as u64, changes[..behind].to_vec());
        if let Some(delta) = full.delta(part.at()) {
            part.merge(delta);
        }
        full.items() == part.items() && full.at() == part.at()
    }
    let generator = Gen::from_size_and_seed(30, 7);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<(u8, bool)>, u8) -> bool);
}
