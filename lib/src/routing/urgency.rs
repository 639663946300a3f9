//! How urgent a request is: by the length of its prompt, and more with the time that it waited.

use crate::cost::{Cost, LengthClass};
use std::time::Duration;

/// Priorities at an engine that each team priority spans.
const RANKS: u8 = 3;

/// Share of the time limit after which a waiting request counts as aged.
const AGED_SHARE: f64 = 0.25;

/// Longest time after which a waiting request counts as aged.
const AGED_AFTER: Duration = Duration::from_secs(10);

/// Returns whether a request with this priority at an engine and this class of prompt is aged.
pub fn is_aged(priority: u8, class: LengthClass) -> bool {
    class > LengthClass::Short && priority.is_multiple_of(RANKS)
}

/// A piece of work that needs a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Estimated cost.
    pub cost: Cost,
    /// Time since the request was admitted by the entry.
    pub waited: Duration,
    /// Remaining time limit.
    pub remaining: Duration,
    /// Whether an attempt was taken and broke off, so that a refusal would lose what it did.
    pub begun: bool,
}

impl Need {
    /// Returns whether the request has waited so long that it goes before others.
    pub fn is_aged(&self) -> bool {
        let limit = self.waited + self.remaining;
        self.waited > limit.mul_f64(AGED_SHARE).min(AGED_AFTER)
    }

    /// Returns the priority at an engine; 0 is served first.
    ///
    /// The priority of the team decides first. Within it short prompts go before medium ones and
    /// those before long ones; an aged request goes with the short ones.
    pub fn priority(&self, team: u8) -> u8 {
        let rank = match self.cost.class() {
            LengthClass::Short => 0,
            _ if self.is_aged() => 0,
            LengthClass::Medium => 1,
            LengthClass::Long => 2,
        };
        team.saturating_mul(RANKS).saturating_add(rank)
    }

    /// Returns how long the request may wait for a target before it is refused.
    ///
    /// A caller with a short prompt is better served by an early refusal; long work may wait,
    /// and keeps time for its prefill. An answer that has begun waits until its time limit.
    pub fn patience(&self) -> Duration {
        let limit = self.waited + self.remaining;
        if self.begun {
            return limit;
        }
        match self.cost.class() {
            LengthClass::Short => (limit / 2).min(Duration::from_millis(1_500)),
            LengthClass::Medium => (limit / 2).min(Duration::from_secs(5)),
            LengthClass::Long => limit.mul_f64(0.7),
        }
    }
}
