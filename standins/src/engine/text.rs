//! Text that an engine generates: a function of the whole prompt and the position, so that tests
//! can check that an answer belongs to its prompt.

use fnv::FnvHasher;
use fulmarhead_lib::ids::Position;
use std::hash::Hasher;

const WORDS: [&str; 16] = [
    "oak", "beam", "trail", "ridge", "rope", "deck", "wheel", "gear", "path", "lake", "bolt",
    "plank", "saddle", "chain", "branch", "hill",
];

/// Returns the state after `segment`, where `previous` is the state of the segments before it.
///
/// The state of a prompt does not depend on how it was cut into segments.
pub fn prompt_state(previous: Option<u64>, segment: &str) -> u64 {
    let mut hasher = previous.map_or_else(FnvHasher::default, FnvHasher::with_key);
    hasher.write(segment.as_bytes());
    hasher.finish()
}

/// Returns the token at `position` of the answer to a prompt with the given state.
pub fn token(state: u64, position: Position) -> String {
    let mut hasher = FnvHasher::with_key(state);
    hasher.write_u64(position);
    let hash = hasher.finish();
    format!("{}{} ", WORDS[(hash % 16) as usize], hash / 16 % 100)
}
