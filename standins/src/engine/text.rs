//! Deterministic text generation: each token is a function of the whole prompt and its position, so
//! that tests can check that a response belongs to its prompt.

use super::cache::prefix_states;
use fnv::FnvHasher;
use fulmarhead_lib::{
    cost::{BYTES_PER_TOKEN, Cost},
    ids::{Position, Tokens},
};
use std::hash::Hasher;

const WORDS: [&str; 16] = [
    "oak", "beam", "trail", "ridge", "rope", "deck", "wheel", "gear", "path", "lake", "bolt",
    "plank", "saddle", "chain", "branch", "hill",
];

/// Returns the hash state after `segment`; `previous` is the state of the segments before it.
///
/// The state of a prompt does not depend on how it is split into segments.
pub fn prompt_state(previous: Option<u64>, segment: &str) -> u64 {
    hash(previous, segment.as_bytes())
}

/// Continues the FNV-1a hash `previous` over `bytes`.
pub(super) fn hash(previous: Option<u64>, bytes: &[u8]) -> u64 {
    let mut hasher = previous.map_or_else(FnvHasher::default, FnvHasher::with_key);
    hasher.write(bytes);
    hasher.finish()
}

/// Returns the token at `position` of the response to a prompt with the hash state `state`.
pub fn token(state: u64, position: Position) -> String {
    let mut hasher = FnvHasher::with_key(state);
    hasher.write_u64(position);
    let hash = hasher.finish();
    format!("{}{} ", WORDS[(hash % 16) as usize], hash / 16 % 100)
}

/// Properties of a prompt that the simulation needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Prompt {
    /// Estimated length, in tokens.
    pub(super) tokens: Tokens,
    /// Hash state after the prompt.
    pub(super) state: u64,
    /// Hash states at the ends of the blocks that can be cached.
    pub(super) blocks: Vec<u64>,
}

impl Prompt {
    /// Analyzes a prompt; one that continues earlier segments has no cacheable blocks.
    pub(super) fn read(text: &str, previous: Option<&str>) -> Self {
        let tokens = Cost::estimate(text.len(), 0).prompt;
        let previous = previous.and_then(parse_state);
        if previous.is_some() {
            return Self { tokens, state: prompt_state(previous, text), blocks: Vec::new() };
        }
        let (blocks, rest) = prefix_states(text.as_bytes());
        Self { tokens, state: hash(blocks.last().copied(), rest), blocks }
    }
}

/// Formats a hash state as 16 hexadecimal digits.
pub(super) fn format_state(state: u64) -> String {
    format!("{state:016x}")
}

fn parse_state(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

/// Returns the length of `tokens` tokens of text, in bytes.
pub(super) fn bytes_of(tokens: Tokens) -> usize {
    usize::try_from(tokens * BYTES_PER_TOKEN).unwrap_or(usize::MAX)
}
