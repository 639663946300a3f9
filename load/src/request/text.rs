//! Generated prompt texts.

use fulmarhead_lib::{cost::BYTES_PER_TOKEN, ids::Tokens};

/// Text that is repeated to fill a prompt; its 8 bytes count as two tokens.
const FILLER: &str = "survey. ";

/// Returns a prompt of `tokens` tokens that starts with `number`, so that the first 16 bytes of
/// prompts with different numbers differ.
pub(super) fn prompt(number: u64, tokens: Tokens) -> String {
    let bytes = (tokens * BYTES_PER_TOKEN) as usize;
    let mut text = format!("{number:016x} ");
    text.reserve(bytes + FILLER.len());
    while text.len() < bytes {
        text.push_str(FILLER);
    }
    text.truncate(bytes);
    text
}
