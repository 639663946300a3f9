//! A copy of the items below one prefix, ordered by the store's revisions.

use super::Freshness;
use crate::ids::Revision;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// One item of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: Revision,
}

/// One change of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Written(Item),
    /// An item was deleted.
    Deleted {
        /// Key of the item.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

/// What a copy at an older revision needs to become equal to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the receiver's copy.
    pub since: Revision,
    /// Revision of the sender's copy.
    pub at: Revision,
    /// All keys that the sender holds.
    pub keys: BTreeSet<String>,
    /// Items that changed after the receiver's revision.
    pub items: Vec<Item>,
}

/// A copy of the items below one prefix. Its revision never goes down.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replica {
    at: Revision,
    items: BTreeMap<String, Item>,
    freshness: Freshness,
}

impl Replica {
    /// Returns the revision of the copy, 0 before the first read.
    pub fn at(&self) -> Revision {
        self.at
    }

    /// Returns the items by their keys.
    pub fn items(&self) -> &BTreeMap<String, Item> {
        &self.items
    }

    /// Returns how old the copy is.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Records that the store was asked at `asked` and has answered for the revision of the copy.
    pub fn confirm(&mut self, asked: Duration) {
        self.freshness.confirm(asked);
    }

    /// Takes all items of the store, whose read began at revision `at`; returns whether it is as
    /// new as the copy.
    ///
    /// An item that changed during the read has a revision above `at` and is kept if it is newer.
    pub fn reset(&mut self, at: Revision, items: Vec<Item>) -> bool {
        if at < self.at {
            return false;
        }
        self.items = items.into_iter().map(|item| (item.key.clone(), item)).collect();
        self.at = at;
        true
    }

    /// Takes the changes up to the revision `at` in their order.
    pub fn apply(&mut self, at: Revision, changes: Vec<Change>) {
        for change in changes {
            self.apply_one(change);
        }
        self.at = self.at.max(at);
    }

    /// Returns what a copy at revision `since` needs, or none if it is as new as this one.
    pub fn delta(&self, since: Revision) -> Option<Delta> {
        if since >= self.at {
            return None;
        }
        let changed = self.items.values().filter(|item| item.revision > since);
        let keys = self.items.keys().cloned().collect();
        Some(Delta { since, at: self.at, keys, items: changed.cloned().collect() })
    }

    /// Becomes equal to the sender of `delta`; returns false and changes nothing if the copy has
    /// passed the sender or is older than the one that `delta` was computed for.
    pub fn merge(&mut self, delta: Delta) -> bool {
        if delta.at <= self.at || self.at < delta.since {
            return false;
        }
        self.items.retain(|key, _| delta.keys.contains(key));
        for item in delta.items {
            self.apply_one(Change::Written(item));
        }
        self.at = delta.at;
        true
    }

    fn apply_one(&mut self, change: Change) {
        let (key, revision) = match &change {
            Change::Written(item) => (&item.key, item.revision),
            Change::Deleted { key, revision } => (key, *revision),
        };
        if self.items.get(key).is_some_and(|known| known.revision >= revision) {
            return;
        }
        match change {
            Change::Written(item) => drop(self.items.insert(item.key.clone(), item)),
            Change::Deleted { key, .. } => drop(self.items.remove(&key)),
        }
    }
}
