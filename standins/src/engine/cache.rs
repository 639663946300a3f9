//! Prefix cache of prompt blocks with least-recently-used eviction.

use super::{
    events::{EventKind, EventLog},
    text::{bytes_of, hash},
};
use fulmarhead_lib::ids::Tokens;
use std::collections::BTreeMap;

/// Size of a prefix block, in tokens.
pub const BLOCK_TOKENS: Tokens = 256;

/// Cached prefix blocks, by model and hash state of the prompt at the end of the block.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: Tokens,
    blocks: BTreeMap<(String, u64), Block>,
    by_use: BTreeMap<u64, (String, u64)>,
    use_count: u64,
    pub(super) events: EventLog,
}

#[derive(Debug)]
struct Block {
    last_use: u64,
    /// Tokens of the prompt up to the end of the block.
    tokens: Tokens,
}

/// Returns the hash states at the ends of the complete blocks of a prompt, and the remaining text.
pub(super) fn prefix_states(prompt: &[u8]) -> (Vec<u64>, &[u8]) {
    let blocks = prompt.chunks_exact(bytes_of(BLOCK_TOKENS));
    let rest = blocks.remainder();
    let mut states = Vec::new();
    for block in blocks {
        states.push(hash(states.last().copied(), block));
    }
    (states, rest)
}

impl PrefixCache {
    /// Returns an empty cache that holds at most `limit` tokens.
    pub(super) fn new(limit: Tokens, events: EventLog) -> Self {
        let (blocks, by_use) = (BTreeMap::new(), BTreeMap::new());
        Self { limit, blocks, by_use, use_count: 0, events }
    }

    /// Removes all blocks and events, without recording evictions.
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.by_use.clear();
        self.events.clear();
    }

    /// Returns the number of cached tokens at the start of a prompt; marks their blocks as used.
    pub(super) fn lookup(&mut self, model: &str, states: &[u64]) -> Tokens {
        let is_cached = |state: &&u64| self.blocks.contains_key(&(model.to_owned(), **state));
        let cached = states.iter().take_while(is_cached).count();
        self.mark_used(model, &states[..cached]);
        cached as Tokens * BLOCK_TOKENS
    }

    /// Caches the leading blocks of a prompt; the cache then holds at most `capacity` tokens.
    pub(super) fn insert(&mut self, model: &str, states: &[u64], capacity: Tokens) {
        let capacity = capacity.min(self.limit);
        let fitting = states.len().min((capacity / BLOCK_TOKENS) as usize);
        let states = &states[..fitting];
        self.mark_used(model, states);
        for (index, &state) in states.iter().enumerate() {
            let key = (model.to_owned(), state);
            if self.blocks.contains_key(&key) {
                continue;
            }
            let tokens = (index as Tokens + 1) * BLOCK_TOKENS;
            self.events.push(EventKind::Stored, model, state, tokens);
            self.blocks.insert(key, Block { last_use: 0, tokens });
        }
        self.mark_used(model, states);
        self.shrink(capacity);
    }

    /// Evicts least recently used blocks until the cache holds at most `capacity` tokens.
    pub(super) fn shrink(&mut self, capacity: Tokens) {
        while self.blocks.len() as Tokens * BLOCK_TOKENS > capacity {
            let Some((_, key)) = self.by_use.pop_first() else { return };
            if let Some(block) = self.blocks.remove(&key) {
                self.events.push(EventKind::Evicted, &key.0, key.1, block.tokens);
            }
        }
    }

    /// Marks blocks as used, last block first, so that eviction starts at the end of a prefix.
    fn mark_used(&mut self, model: &str, states: &[u64]) {
        for &state in states.iter().rev() {
            let key = (model.to_owned(), state);
            let Some(block) = self.blocks.get_mut(&key) else { continue };
            self.use_count += 1;
            self.by_use.remove(&block.last_use);
            block.last_use = self.use_count;
            self.by_use.insert(self.use_count, key);
        }
    }
}
