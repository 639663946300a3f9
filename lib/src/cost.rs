//! Estimated cost of a request in tokens.

use crate::ids::Tokens;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumIter, EnumString};

/// Average bytes of text in one token.
pub const BYTES_PER_TOKEN: u64 = 4;

/// What a request is expected to use of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Tokens to prefill.
    pub prompt: Tokens,
    /// Upper bound of the tokens to generate.
    pub output: Tokens,
}

impl Cost {
    /// Estimates the cost of a prompt of `bytes` bytes and at most `output` generated tokens.
    pub fn estimate(bytes: usize, output: Tokens) -> Self {
        Self { prompt: (bytes as u64).div_ceil(BYTES_PER_TOKEN), output }
    }

    /// Returns the KV cache that the request holds at its end, in tokens.
    pub fn kv(&self) -> Tokens {
        self.prompt + self.output
    }

    /// Returns how long an engine of `rate` tokens a second needs for `tokens` of prefill.
    ///
    /// An engine that reports no rate counts as one of a token a second.
    pub fn prefill_time(tokens: Tokens, rate: Tokens) -> Duration {
        Duration::from_secs_f64(tokens as f64 / rate.max(1) as f64)
    }

    /// Returns the memory over time that the request holds, in token seconds, when its first
    /// token comes after `first` and each further one after `step`.
    pub fn memory_time(&self, first: Duration, step: Duration) -> f64 {
        let decode = step.as_secs_f64() * self.output as f64;
        // While the answer grows it holds half of its length on average.
        let grown = self.prompt as f64 + self.output as f64 / 2.0;
        self.prompt as f64 * first.as_secs_f64() + grown * decode
    }

    /// Returns the class of the prompt's length.
    pub fn class(&self) -> LengthClass {
        match self.prompt {
            0..=8_000 => LengthClass::Short,
            8_001..=100_000 => LengthClass::Medium,
            _ => LengthClass::Long,
        }
    }
}

/// Classes of prompt length, for policy and for measures.
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
    /// At most 8,000 tokens.
    Short,
    /// Over 8,000 and at most 100,000 tokens.
    Medium,
    /// Over 100,000 tokens.
    Long,
}
