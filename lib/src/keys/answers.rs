//! Stored answers that are replayed to repeated calls, limited by their total size.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};
use uuid::Uuid;

/// The answer of an application to a completed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media_type: String,
    /// Body; `None` if the ledger has evicted it.
    pub body: Option<Arc<[u8]>>,
}

/// Sizes in bytes of the answer bodies that the ledger stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct BodySizes {
    sizes: BTreeMap<Uuid, usize>,
    total: usize,
}

impl BodySizes {
    /// Adds the body of `key_id` and returns the keys whose bodies must be evicted to stay within
    /// `limit` bytes.
    ///
    /// The oldest keys are evicted first. The body of `key_id` is never evicted here, even if it
    /// alone exceeds `limit`, because a caller is waiting for it.
    pub(super) fn insert(&mut self, key_id: Uuid, size: usize, limit: usize) -> Vec<Uuid> {
        self.remove(key_id);
        let mut evicted = Vec::new();
        while self.total + size > limit {
            let Some((oldest, oldest_size)) = self.sizes.pop_first() else { break };
            self.total -= oldest_size;
            evicted.push(oldest);
        }
        self.sizes.insert(key_id, size);
        self.total += size;
        evicted
    }

    /// Removes the body of `key_id`, if its size is recorded.
    pub(super) fn remove(&mut self, key_id: Uuid) {
        self.total -= self.sizes.remove(&key_id).unwrap_or(0);
    }

    /// Returns the total size of the stored bodies in bytes.
    pub(super) fn total(&self) -> usize {
        self.total
    }
}
