//! Copy of the items under one key prefix, versioned by the store's revisions.

use super::Freshness;
use crate::ids::Revision;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Key and value in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Full key, including the prefix.
    pub key: String,
    /// Value as raw bytes.
    pub value: Vec<u8>,
    /// Store revision of the last write to the key.
    pub revision: Revision,
}

/// Change of one item of the store.
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

impl Change {
    /// Returns the key of the item.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Deleted { key, .. } => key,
        }
    }

    /// Returns the store revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Written(item) => item.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}

/// Changes that bring a copy at an older revision up to date with the sender's copy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the receiver's copy for which the delta was computed.
    #[serde(rename = "since")]
    pub base_revision: Revision,
    /// Revision of the sender's copy.
    #[serde(rename = "at")]
    pub revision: Revision,
    /// All keys in the sender's copy; the receiver removes any others.
    pub keys: BTreeSet<String>,
    /// Items that changed after the receiver's revision.
    pub items: Vec<Item>,
}

/// Copy of the items under one key prefix, whose revision never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replica {
    revision: Revision,
    items: BTreeMap<String, Item>,
    freshness: Freshness,
}

impl Replica {
    /// Returns the store revision of the copy, 0 before the first snapshot.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the items, sorted by key.
    pub fn items(&self) -> &BTreeMap<String, Item> {
        &self.items
    }

    /// Returns the time at which the copy was last confirmed to be up to date.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Records that a request sent at `requested_at` confirmed the revision of the copy.
    pub fn confirm(&mut self, requested_at: Duration) {
        self.freshness.confirm(requested_at);
    }

    /// Replaces all items with a snapshot whose read began at `revision`.
    ///
    /// Returns false and changes nothing if the snapshot is older than the copy. An item that
    /// changed during the read has a higher revision, so that applying older changes later does not
    /// overwrite it.
    pub fn load_snapshot(&mut self, revision: Revision, items: Vec<Item>) -> bool {
        if revision < self.revision {
            return false;
        }
        self.items = items.into_iter().map(|item| (item.key.clone(), item)).collect();
        self.revision = revision;
        true
    }

    /// Applies `changes` in order, which brings the copy to `revision`.
    ///
    /// A change that is not newer than the copy is ignored. The copy may have become newer by
    /// another way since the changes were requested, and may no longer have an item because of a
    /// deletion that came after them. So is a change that is not newer than its item in the copy.
    pub fn apply(&mut self, revision: Revision, changes: Vec<Change>) {
        let applied = self.revision;
        for change in changes.into_iter().filter(|change| change.revision() > applied) {
            self.apply_change(change);
        }
        self.revision = applied.max(revision);
    }

    /// Returns the changes for a copy at `base_revision`, or `None` if it is as new as this one.
    pub fn delta(&self, base_revision: Revision) -> Option<Delta> {
        if base_revision >= self.revision {
            return None;
        }
        let changed = self.items.values().filter(|item| item.revision > base_revision);
        let keys = self.items.keys().cloned().collect();
        Some(Delta {
            base_revision,
            revision: self.revision,
            keys,
            items: changed.cloned().collect(),
        })
    }

    /// Brings the copy up to date with the sender of `delta`.
    ///
    /// Returns false and changes nothing if the copy is as new as the sender's, or is older than
    /// the revision that `delta` was computed for.
    pub fn merge(&mut self, delta: Delta) -> bool {
        if delta.revision <= self.revision || self.revision < delta.base_revision {
            return false;
        }
        self.items.retain(|key, _| delta.keys.contains(key));
        for item in delta.items {
            self.apply_change(Change::Written(item));
        }
        self.revision = delta.revision;
        true
    }

    fn apply_change(&mut self, change: Change) {
        let known = self.items.get(change.key());
        if known.is_some_and(|known| known.revision >= change.revision()) {
            return;
        }
        match change {
            Change::Written(item) => drop(self.items.insert(item.key.clone(), item)),
            Change::Deleted { key, .. } => drop(self.items.remove(&key)),
        }
    }
}
