//! Answers that the ledger keeps for repeated calls, bounded by their total size.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};
use uuid::Uuid;

/// The answer of an application to a call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media_type: String,
    /// Body; `None` if the ledger does not keep it.
    pub body: Option<Arc<[u8]>>,
}

/// Sizes of the bodies that the ledger keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Bodies {
    sizes: BTreeMap<Uuid, usize>,
    total: usize,
}

impl Bodies {
    /// Counts the body of `key`; returns the keys whose bodies have to go to stay under `limit`.
    ///
    /// The body of `key` stays, so that the caller that waits for it gets it.
    pub(super) fn insert(&mut self, key: Uuid, size: usize, limit: usize) -> Vec<Uuid> {
        self.remove(key);
        let mut dropped = Vec::new();
        while self.total + size > limit {
            let Some((oldest, size)) = self.sizes.pop_first() else { break };
            self.total -= size;
            dropped.push(oldest);
        }
        self.sizes.insert(key, size);
        self.total += size;
        dropped
    }

    /// Forgets the body of `key`.
    pub(super) fn remove(&mut self, key: Uuid) {
        self.total -= self.sizes.remove(&key).unwrap_or(0);
    }

    /// Returns the bytes of all kept bodies.
    pub(super) fn total(&self) -> usize {
        self.total
    }
}
