//! How much prefill may wait at one engine. Agents decide by it, and entries use the same rule on
//! what they know, so that they send little that an agent would refuse.

use crate::{
    cost::{Cost, LengthClass},
    ids::Tokens,
};
use std::time::Duration;

/// Part of an engine's memory that only short prompts may use, as a divisor.
const SHORT_MEMORY_DIVISOR: Tokens = 16;

/// Bounds on the prefill that waits at one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Longest prefill of one class that may wait, as the time that the engine needs for it.
    ///
    /// It has to be longer than the time between two reports, or engines run dry in between.
    pub horizon: Duration,
    /// Part of the horizon that medium and that long prompts may fill, from 0 to 1.
    pub long_share: f64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { horizon: Duration::from_millis(500), long_share: 0.5 }
    }
}

/// Prefill that waits at an engine, in tokens by class of prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Queue {
    /// Short prompts.
    pub short: Tokens,
    /// Medium prompts.
    pub medium: Tokens,
    /// Long prompts.
    pub long: Tokens,
}

impl Queue {
    /// Adds the prompt of a request.
    pub fn add(&mut self, cost: Cost) {
        *self.of(cost.class()) += cost.prompt;
    }

    /// Takes away the prompt of a request.
    pub fn subtract(&mut self, cost: Cost) {
        let tokens = self.of(cost.class());
        *tokens = tokens.saturating_sub(cost.prompt);
    }

    /// Returns the prefill of all classes.
    pub fn all(&self) -> Tokens {
        self.short + self.medium + self.long
    }

    /// Returns the prefill that engines serve before a prompt of `class` that comes now.
    pub fn ahead(&self, class: LengthClass) -> Tokens {
        match class {
            LengthClass::Short => self.short,
            LengthClass::Medium => self.short + self.medium,
            LengthClass::Long => self.all(),
        }
    }

    /// Returns what is left after the engine has done `tokens`, short prompts first.
    pub fn after(&self, tokens: Tokens) -> Self {
        let medium = tokens.saturating_sub(self.short);
        let long = medium.saturating_sub(self.medium);
        Self {
            short: self.short.saturating_sub(tokens),
            medium: self.medium.saturating_sub(medium),
            long: self.long.saturating_sub(long),
        }
    }

    /// Returns both queues together.
    pub fn plus(&self, other: Self) -> Self {
        Self {
            short: self.short + other.short,
            medium: self.medium + other.medium,
            long: self.long + other.long,
        }
    }

    fn of(&mut self, class: LengthClass) -> &mut Tokens {
        match class {
            LengthClass::Short => &mut self.short,
            LengthClass::Medium => &mut self.medium,
            LengthClass::Long => &mut self.long,
        }
    }
}

impl QueueSettings {
    /// Returns whether an engine of `rate` tokens a second takes `cost` behind `queue`.
    ///
    /// Each class has a bound of its own, since engines serve shorter prompts first and a prompt
    /// that waits behind longer ones waits no less at the entry. One prompt of each class is always
    /// taken, whatever its length, since it would fit nowhere else either.
    pub fn takes(&self, cost: Cost, queue: Queue, rate: Tokens) -> bool {
        let bound = self.horizon.as_secs_f64() * rate as f64;
        let (waiting, bound) = match cost.class() {
            LengthClass::Short => (queue.short, bound),
            LengthClass::Medium => (queue.medium, bound * self.long_share),
            LengthClass::Long => (queue.long, bound * self.long_share),
        };
        waiting == 0 || (waiting + cost.prompt) as f64 <= bound
    }
}

/// Returns the memory that an engine of `total` tokens keeps for short prompts.
pub fn short_memory(total: Tokens) -> Tokens {
    total / SHORT_MEMORY_DIVISOR
}
