//! Beginnings that several prompts of a run share.

use fulmarhead_lib::ids::Tokens;

/// Largest part of a prompt that is shared, in quarters.
const MAX_SHARED_QUARTERS: Tokens = 3;

/// Number and length of the shared beginnings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefixes {
    /// Number of different beginnings; 0 for prompts that share nothing.
    pub count: u64,
    /// Maximum length of a beginning, in tokens.
    pub tokens: Tokens,
}

impl SharedPrefixes {
    /// Returns the index and the length in tokens of the beginning of a prompt, if it shares one.
    ///
    /// The index depends only on the number of the arrival. Low indices are more frequent: of 16
    /// beginnings, the first has a quarter of the prompts.
    pub(crate) fn select(&self, number: u64, prompt_tokens: Tokens) -> Option<(u64, Tokens)> {
        let draw = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11;
        let draw = draw as f64 / (1u64 << 53) as f64;
        let index = (draw * draw * self.count as f64) as u64;
        let tokens = self.tokens.min(prompt_tokens * MAX_SHARED_QUARTERS / 4);
        (self.count > 0).then_some((index, tokens))
    }
}
