//! Cached prefixes of prompts, in blocks; the least recently used block is evicted first.

use super::{
    events::{EventKind, EventLog},
    text::{bytes_of, hash},
};
use fulmarhead_lib::ids::Tokens;
use std::collections::BTreeMap;

/// Tokens of one block.
pub const BLOCK: Tokens = 256;

/// Cached prefixes, by model and by the state of the prompt at the end of a block.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: Tokens,
    blocks: BTreeMap<(String, u64), Block>,
    by_use: BTreeMap<u64, (String, u64)>,
    uses: u64,
    pub(super) events: EventLog,
}

#[derive(Debug)]
struct Block {
    used: u64,
    /// Tokens of the prompt up to the end of the block.
    tokens: Tokens,
}

/// Returns the states of a prompt at the ends of its complete blocks, and the rest of the prompt.
pub(super) fn prefix_states(prompt: &[u8]) -> (Vec<u64>, &[u8]) {
    let blocks = prompt.chunks_exact(bytes_of(BLOCK));
    let rest = blocks.remainder();
    let mut states = Vec::new();
    for block in blocks {
        states.push(hash(states.last().copied(), block));
    }
    (states, rest)
}

impl PrefixCache {
    /// Returns an empty cache of at most `limit` tokens.
    pub(super) fn new(limit: Tokens, events: EventLog) -> Self {
        let (blocks, by_use) = (BTreeMap::new(), BTreeMap::new());
        Self { limit, blocks, by_use, uses: 0, events }
    }

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.by_use.clear();
        self.events.clear();
    }

    /// Returns the tokens at the start of a prompt that are cached, and marks them as used.
    pub(super) fn hit(&mut self, model: &str, states: &[u64]) -> Tokens {
        let known = |state: &&u64| self.blocks.contains_key(&(model.to_owned(), **state));
        let hits = states.iter().take_while(known).count();
        self.touch(model, &states[..hits]);
        hits as Tokens * BLOCK
    }

    /// Keeps the blocks of a prompt in at most `room` tokens, the first blocks before the last.
    pub(super) fn insert(&mut self, model: &str, states: &[u64], room: Tokens) {
        let room = room.min(self.limit);
        let fitting = states.len().min((room / BLOCK) as usize);
        let states = &states[..fitting];
        self.touch(model, states);
        for (index, &state) in states.iter().enumerate() {
            let key = (model.to_owned(), state);
            if self.blocks.contains_key(&key) {
                continue;
            }
            let tokens = (index as Tokens + 1) * BLOCK;
            self.events.push(EventKind::Stored, model, state, tokens);
            self.blocks.insert(key, Block { used: 0, tokens });
        }
        self.touch(model, states);
        self.shrink(room);
    }

    /// Evicts blocks until the rest has at most `room` tokens.
    pub(super) fn shrink(&mut self, room: Tokens) {
        while self.blocks.len() as Tokens * BLOCK > room {
            let Some((_, key)) = self.by_use.pop_first() else { return };
            if let Some(block) = self.blocks.remove(&key) {
                self.events.push(EventKind::Evicted, &key.0, key.1, block.tokens);
            }
        }
    }

    /// Marks blocks as used; a block counts as used after the ones that build on it.
    fn touch(&mut self, model: &str, states: &[u64]) {
        for &state in states.iter().rev() {
            let key = (model.to_owned(), state);
            let Some(block) = self.blocks.get_mut(&key) else { continue };
            self.uses += 1;
            self.by_use.remove(&block.used);
            block.used = self.uses;
            self.by_use.insert(self.uses, key);
        }
    }
}
