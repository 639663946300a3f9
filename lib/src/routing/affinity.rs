//! Which engines probably have the prefix of a prompt in their cache, from where an entry sent
//! prompts with the same prefix.

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

/// Shortest prefix that is remembered, in tokens.
const SHORTEST: Tokens = 1_000;

/// Prefixes that an entry remembers, which take a few hundred bytes each.
const CAPACITY: usize = 4_096;

/// Time after which an engine counts as having dropped a prefix.
const LIFETIME: Duration = Duration::from_secs(60);

/// Hashes of the prefixes of one prompt at 1,000 tokens and each doubling of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefixes(Vec<(u64, Tokens)>);

impl Prefixes {
    /// Returns the prefixes of a prompt.
    pub fn of(text: &str) -> Self {
        let bytes = text.as_bytes();
        let mut hasher = XxHash64::default();
        let mut prefixes = Vec::new();
        let (mut start, mut tokens) = (0, SHORTEST);
        while let Some(part) = bytes.get(start..(tokens * BYTES_PER_TOKEN) as usize) {
            hasher.write(part);
            prefixes.push((hasher.finish(), tokens));
            start += part.len();
            tokens *= 2;
        }
        Self(prefixes)
    }
}

/// Where prefixes were sent lately.
#[derive(Clone, Debug, Default)]
pub struct Affinity {
    sent: BTreeMap<u64, (TargetId, Instant)>,
    order: BTreeMap<(Instant, u64), ()>,
}

impl Affinity {
    /// Records that a target has taken a prompt.
    pub fn learn(&mut self, prefixes: &Prefixes, target: &str, now: Instant) {
        for &(hash, _) in &prefixes.0 {
            if let Some((_, at)) = self.sent.insert(hash, (target.to_owned(), now)) {
                self.order.remove(&(at, hash));
            }
            self.order.insert((now, hash), ());
        }
        while self.sent.len() > CAPACITY {
            let Some(((_, hash), ())) = self.order.pop_first() else { break };
            self.sent.remove(&hash);
        }
    }

    /// Returns the targets that probably have a prefix, with its length in tokens.
    pub fn favored(&self, prefixes: &Prefixes, now: Instant) -> BTreeMap<TargetId, Tokens> {
        let mut favored = BTreeMap::new();
        // Longer prefixes come later and replace the shorter ones of the same target.
        for (hash, tokens) in &prefixes.0 {
            let known = self.sent.get(hash);
            let fresh = known.filter(|(_, at)| now.saturating_duration_since(*at) <= LIFETIME);
            if let Some((target, _)) = fresh {
                favored.insert(target.clone(), *tokens);
            }
        }
        favored
    }

    /// Returns how many prefixes are remembered.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// Returns whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}
