//! Limits on the prefill that may wait at one engine.
//!
//! Agents enforce these limits. Entries apply the same rule to the state that they know, so that
//! agents refuse few of the requests that entries send.

use crate::{
    cost::{Cost, LengthClass},
    ids::Tokens,
};
use std::time::Duration;

/// Divisor of an engine's total memory that gives the part reserved for short prompts.
const SHORT_RESERVE_DIVISOR: Tokens = 16;

/// Limits on the prefill that may wait at one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Maximum prefill of one length class that may wait, as the time that the engine needs for it.
    ///
    /// It must exceed the interval between two reports of an agent; otherwise engines become idle
    /// between reports.
    pub max_prefill_time: Duration,
    /// Fraction of `max_prefill_time`, from 0 to 1, that medium prompts and long prompts may each
    /// use.
    pub long_share: f64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { max_prefill_time: Duration::from_millis(500), long_share: 0.5 }
    }
}

/// Prefill that waits at an engine, in tokens by length class of the prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillQueue {
    /// Tokens of short prompts.
    pub short: Tokens,
    /// Tokens of medium prompts.
    pub medium: Tokens,
    /// Tokens of long prompts.
    pub long: Tokens,
}

impl PrefillQueue {
    /// Adds the prompt of a request to its length class.
    pub fn add(&mut self, cost: Cost) {
        *self.class_mut(cost.class()) += cost.prompt;
    }

    /// Subtracts the prompt of a request from its length class, down to zero.
    pub fn subtract(&mut self, cost: Cost) {
        let tokens = self.class_mut(cost.class());
        *tokens = tokens.saturating_sub(cost.prompt);
    }

    /// Returns the prefill of all length classes, in tokens.
    pub fn total(&self) -> Tokens {
        self.short + self.medium + self.long
    }

    /// Returns the prefill that an engine processes before a new prompt of `class`, in tokens.
    pub fn tokens_ahead(&self, class: LengthClass) -> Tokens {
        match class {
            LengthClass::Short => self.short,
            LengthClass::Medium => self.short + self.medium,
            LengthClass::Long => self.total(),
        }
    }

    /// Returns the queue after the engine has processed `tokens` of prefill, shorter classes first.
    pub fn after_prefill(&self, tokens: Tokens) -> Self {
        let medium_done = tokens.saturating_sub(self.short);
        let long_done = medium_done.saturating_sub(self.medium);
        Self {
            short: self.short.saturating_sub(tokens),
            medium: self.medium.saturating_sub(medium_done),
            long: self.long.saturating_sub(long_done),
        }
    }

    /// Returns the sum of both queues.
    pub fn plus(&self, other: Self) -> Self {
        Self {
            short: self.short + other.short,
            medium: self.medium + other.medium,
            long: self.long + other.long,
        }
    }

    fn class_mut(&mut self, class: LengthClass) -> &mut Tokens {
        match class {
            LengthClass::Short => &mut self.short,
            LengthClass::Medium => &mut self.medium,
            LengthClass::Long => &mut self.long,
        }
    }
}

impl QueueSettings {
    /// Returns whether an engine with a prefill rate of `rate` tokens per second accepts a request
    /// of `cost` in addition to `queue`.
    ///
    /// Each length class has its own limit: engines process shorter prompts first, so longer ones
    /// waiting at the engine do not delay a shorter prompt, and refusing it because of them would
    /// only make it wait at the entry. A prompt whose class has no other waiting prompt is accepted
    /// at any length; otherwise no engine would ever accept a prompt that exceeds the limit alone.
    pub fn accepts(&self, cost: Cost, queue: PrefillQueue, rate: Tokens) -> bool {
        let limit = self.max_prefill_time.as_secs_f64() * rate as f64;
        let (waiting, limit) = match cost.class() {
            LengthClass::Short => (queue.short, limit),
            LengthClass::Medium => (queue.medium, limit * self.long_share),
            LengthClass::Long => (queue.long, limit * self.long_share),
        };
        waiting == 0 || (waiting + cost.prompt) as f64 <= limit
    }
}

/// Returns the memory that an engine with `total` tokens of memory reserves for short prompts.
pub fn short_prompt_reserve(total: Tokens) -> Tokens {
    total / SHORT_RESERVE_DIVISOR
}
