//! The targets that served each recent prefix.

use crate::{
    ids::{TargetId, Tokens},
    routing::PrefixHashes,
};
use std::{collections::BTreeMap, time::Instant};

/// Maximum number of prefixes that an entry tracks, each with its holders.
const MAX_PREFIXES: usize = 4_096;

/// Maximum number of holders of a prefix; the least recent one is dropped.
///
/// Four let a popular prefix spread, and bound the memory of the table to a few megabytes.
const MAX_HOLDERS: usize = 4;

/// A target that served a prefix.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) target: TargetId,
    /// Time at which the target last served the prefix.
    pub(super) at: Instant,
    /// Run of the target at that time.
    pub(super) run: u64,
    /// KV cache that had been asked of the target by then, in tokens.
    pub(super) demand: Tokens,
}

/// Holders by the hash of the prefix; evicts the least recently served prefix first.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    prefixes: BTreeMap<u64, Vec<Holder>>,
    by_time: BTreeMap<(Instant, u64), ()>,
}

impl Holders {
    /// Records that `holder` served all these prefixes.
    pub(super) fn record(&mut self, prefixes: &PrefixHashes, holder: &Holder) {
        for (hash, _) in prefixes.iter() {
            let holders = self.prefixes.entry(hash).or_default();
            if let Some(latest) = holders.last() {
                self.by_time.remove(&(latest.at, hash));
            }
            holders.retain(|other| other.target != holder.target);
            if holders.len() >= MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(holder.clone());
            self.by_time.insert((holder.at, hash), ());
        }
        while self.prefixes.len() > MAX_PREFIXES {
            let Some(((_, hash), ())) = self.by_time.pop_first() else { break };
            self.prefixes.remove(&hash);
        }
    }

    /// Returns the holders of a prefix.
    pub(super) fn of(&self, hash: u64) -> &[Holder] {
        self.prefixes.get(&hash).map_or(&[], |holders| holders)
    }

    /// Returns the number of tracked prefixes.
    pub(super) fn len(&self) -> usize {
        self.prefixes.len()
    }
}
