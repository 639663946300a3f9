//! Text of prompts.

use fulmarhead_lib::{cost::BYTES_PER_TOKEN, ids::Tokens};

/// A prompt is this text again and again; 8 bytes are two tokens.
const FILLER: &str = "survey. ";

/// Returns a prompt of `tokens` tokens that begins unlike that of any other number.
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
