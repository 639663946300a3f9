//! Generated prompt texts.

use fulmarhead_lib::{cost::BYTES_PER_TOKEN, ids::Tokens};

/// Text that is repeated to fill a prompt; its 8 bytes count as two tokens.
const FILLER: &str = "survey. ";

/// Returns a prompt of `tokens` tokens.
///
/// With `shared`, it begins with that many tokens of the beginning with that index. What follows
/// starts with `number`, so that 16 bytes of prompts with different numbers differ there.
pub(super) fn prompt(number: u64, tokens: Tokens, shared: Option<(u64, Tokens)>) -> String {
    let bytes = |tokens: Tokens| (tokens * BYTES_PER_TOKEN) as usize;
    let mut text = String::with_capacity(bytes(tokens) + FILLER.len());
    if let Some((index, length)) = shared {
        text.push_str(&format!("shared {index:016x} "));
        fill(&mut text, bytes(length));
    }
    text.push_str(&format!("{number:016x} "));
    fill(&mut text, bytes(tokens));
    text
}

/// Extends or cuts `text` to `bytes` bytes.
fn fill(text: &mut String, bytes: usize) {
    while text.len() < bytes {
        text.push_str(FILLER);
    }
    text.truncate(bytes);
}
