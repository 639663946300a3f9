//! Estimated cost of a request in tokens.

use crate::ids::Tokens;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumIter, EnumString};

/// Average number of bytes of text per token.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Estimated engine usage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Number of tokens to prefill.
    pub prompt: Tokens,
    /// Maximum number of tokens to generate.
    pub output: Tokens,
}

impl Cost {
    /// Estimates the cost of a prompt of `bytes` bytes with at most `output` generated tokens.
    pub fn estimate(bytes: usize, output: Tokens) -> Self {
        Self { prompt: (bytes as u64).div_ceil(BYTES_PER_TOKEN), output }
    }

    /// Returns the KV cache that the request uses when its answer is complete, in tokens.
    pub fn kv_tokens(&self) -> Tokens {
        self.prompt + self.output
    }

    /// Returns how long an engine needs to prefill `tokens` tokens at `rate` tokens per second.
    ///
    /// A rate of 0, as for an engine that reports no rate, counts as one token per second.
    pub fn prefill_time(tokens: Tokens, rate: Tokens) -> Duration {
        Duration::from_secs_f64(tokens as f64 / rate.max(1) as f64)
    }

    /// Returns the KV cache usage of the request integrated over time, in token seconds.
    ///
    /// Assumes that the first token is generated after `first_token_time` and that decoding takes
    /// `token_interval` for each output token.
    pub fn kv_token_seconds(&self, first_token_time: Duration, token_interval: Duration) -> f64 {
        let decode = token_interval.as_secs_f64() * self.output as f64;
        // During decoding, the answer takes up half of its final length on average.
        let average = self.prompt as f64 + self.output as f64 / 2.0;
        self.prompt as f64 * first_token_time.as_secs_f64() + average * decode
    }

    /// Returns the length class of the prompt.
    pub fn class(&self) -> LengthClass {
        match self.prompt {
            0..=8_000 => LengthClass::Short,
            8_001..=100_000 => LengthClass::Medium,
            _ => LengthClass::Long,
        }
    }
}

/// Classes of prompt length, used for scheduling and metrics.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LengthClass {
    /// Prompts of at most 8,000 tokens.
    Short,
    /// Prompts of more than 8,000 and at most 100,000 tokens.
    Medium,
    /// Prompts of more than 100,000 tokens.
    Long,
}
