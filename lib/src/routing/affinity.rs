//! Prefix affinity by recent sends: assumes that an engine still has a prefix in its cache for a
//! minute after this entry sent it a prompt with that prefix.

use crate::{
    cost::BYTES_PER_TOKEN,
    ids::{TargetId, Tokens},
};
use std::{
    collections::BTreeMap,
    hash::Hasher,
    time::{Duration, Instant},
};
use twox_hash::XxHash64;

/// Length of the shortest tracked prefix, in tokens.
const MIN_PREFIX_TOKENS: Tokens = 1_000;

/// Maximum number of prefixes that an entry tracks. Each takes a few hundred bytes.
const MAX_PREFIXES: usize = 4_096;

/// Time after which an engine is assumed to have evicted a prefix.
const PREFIX_TTL: Duration = Duration::from_secs(60);

/// Hashes of the prefixes of one prompt, with lengths of 1,000 tokens, 2,000 tokens, 4,000 tokens
/// and so on. A token counts as [`BYTES_PER_TOKEN`] bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixHashes(Vec<(u64, Tokens)>);

impl PrefixHashes {
    /// Returns the hashes for the prompt `text`; none if it is shorter than 1,000 tokens.
    pub fn of(text: &str) -> Self {
        let bytes = text.as_bytes();
        let mut hasher = XxHash64::default();
        let mut prefixes = Vec::new();
        let (mut start, mut tokens) = (0, MIN_PREFIX_TOKENS);
        while let Some(part) = bytes.get(start..(tokens * BYTES_PER_TOKEN) as usize) {
            hasher.write(part);
            prefixes.push((hasher.finish(), tokens));
            start += part.len();
            tokens *= 2;
        }
        Self(prefixes)
    }

    /// Returns the hashes and the lengths in tokens, from the shortest prefix to the longest.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, Tokens)> {
        self.0.iter().copied()
    }
}

/// The target that last accepted each recently sent prefix.
///
/// Holds at most 4,096 prefixes and evicts the least recently sent one first.
#[derive(Clone, Debug, Default)]
pub struct Affinity {
    targets: BTreeMap<u64, (TargetId, Instant)>,
    by_time: BTreeMap<(Instant, u64), ()>,
}

impl Affinity {
    /// Records that `target` accepted the prompt with these prefixes.
    pub fn record(&mut self, prefixes: &PrefixHashes, target: &str, now: Instant) {
        for &(hash, _) in &prefixes.0 {
            if let Some((_, at)) = self.targets.insert(hash, (target.to_owned(), now)) {
                self.by_time.remove(&(at, hash));
            }
            self.by_time.insert((now, hash), ());
        }
        while self.targets.len() > MAX_PREFIXES {
            let Some(((_, hash), ())) = self.by_time.pop_first() else { break };
            self.targets.remove(&hash);
        }
    }

    /// Returns the targets that probably have a prefix of the prompt in their cache, each with the
    /// length of its longest such prefix in tokens.
    pub fn cached_tokens(
        &self,
        prefixes: &PrefixHashes,
        now: Instant,
    ) -> BTreeMap<TargetId, Tokens> {
        let mut cached = BTreeMap::new();
        // Longer prefixes come later and overwrite shorter ones of the same target.
        for (hash, tokens) in &prefixes.0 {
            let known = self.targets.get(hash);
            let fresh = known.filter(|(_, at)| now.saturating_duration_since(*at) <= PREFIX_TTL);
            if let Some((target, _)) = fresh {
                cached.insert(target.clone(), *tokens);
            }
        }
        cached
    }

    /// Returns the number of tracked prefixes.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
