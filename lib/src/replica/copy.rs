//! Copy of the items under one key prefix, versioned by its position in the store's history.

use super::{Freshness, Position};
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

/// Changes that bring an older copy up to date with the sender's copy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Position of the receiver's copy for which the delta was computed.
    #[serde(rename = "since")]
    pub base: Position,
    /// Position of the sender's copy.
    #[serde(rename = "at")]
    pub position: Position,
    /// All keys in the sender's copy; the receiver removes any others.
    pub keys: BTreeSet<String>,
    /// Items that changed after the base, or all items if that is in an earlier era.
    pub items: Vec<Item>,
}

impl Delta {
    /// Returns whether the delta has all items, since the base is of an earlier era.
    fn is_complete(&self) -> bool {
        self.base.era < self.position.era
    }
}

/// Copy of the items under one key prefix, whose position never goes back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replica {
    position: Position,
    items: BTreeMap<String, Item>,
    freshness: Freshness,
}

impl Replica {
    /// Returns the position of the copy, with revision 0 before the first snapshot.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the items, sorted by key.
    pub fn items(&self) -> &BTreeMap<String, Item> {
        &self.items
    }

    /// Returns the time at which the copy was last confirmed to be up to date.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Records that a request sent at `requested_at` confirmed the position of the copy.
    pub fn confirm(&mut self, requested_at: Duration) {
        self.freshness.confirm(requested_at);
    }

    /// Replaces all items with a snapshot whose read began at `position`.
    ///
    /// Returns false and changes nothing if the snapshot is older than the copy. An item that
    /// changed during the read has a higher revision, so that applying older changes later does not
    /// overwrite it.
    pub fn load_snapshot(&mut self, position: Position, items: Vec<Item>) -> bool {
        if position < self.position {
            return false;
        }
        self.items = items.into_iter().map(|item| (item.key.clone(), item)).collect();
        self.position = position;
        true
    }

    /// Applies in order the `changes` after the revision `base` of the era of `position`, which bring
    /// the copy to `position`.
    ///
    /// Returns false and changes nothing if the copy is of another era, or lacks changes before
    /// `base`. A change that is not newer than the copy is ignored. The copy may have become newer by
    /// another way since the changes were requested, and may no longer have an item because of a
    /// deletion that came after them. So is a change that is not newer than its item in the copy.
    pub fn apply(&mut self, base: Revision, position: Position, changes: Vec<Change>) -> bool {
        let applied = self.position.revision;
        if position.era != self.position.era || applied < base {
            return false;
        }
        for change in changes.into_iter().filter(|change| change.revision() > applied) {
            self.apply_change(change);
        }
        self.position = self.position.max(position);
        true
    }

    /// Returns the changes for a copy at `base`, or `None` if it is as new as this one.
    pub fn delta(&self, base: Position) -> Option<Delta> {
        if base >= self.position {
            return None;
        }
        let base_revision = if base.era < self.position.era { 0 } else { base.revision };
        let changed = self.items.values().filter(|item| item.revision > base_revision);
        let keys = self.items.keys().cloned().collect();
        Some(Delta { base, position: self.position, keys, items: changed.cloned().collect() })
    }

    /// Brings the copy up to date with the sender of `delta`.
    ///
    /// Returns false and changes nothing if the copy is as new as the sender's, or is older than the
    /// position that `delta` was computed for.
    pub fn merge(&mut self, delta: Delta) -> bool {
        if delta.position <= self.position {
            return false;
        }
        if delta.is_complete() {
            self.items.clear();
        } else if self.position.era != delta.position.era || self.position < delta.base {
            return false;
        }
        self.items.retain(|key, _| delta.keys.contains(key));
        for item in delta.items {
            self.apply_change(Change::Written(item));
        }
        self.position = delta.position;
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
