//! Priority of a request, from the length of its prompt and the time that it has waited.

use crate::cost::{Cost, LengthClass};
use std::time::Duration;

/// Number of engine priorities for each team priority: short or aged, medium, and long requests.
const LEVELS_PER_TEAM_PRIORITY: u8 = 3;

/// Fraction of the time limit after which a waiting request is aged, that is, has the priority of
/// short prompts.
const AGED_AFTER_FRACTION: f64 = 0.25;

/// Upper bound of the time after which a waiting request is aged.
const MAX_AGED_AFTER: Duration = Duration::from_secs(10);

/// Returns whether a request with this engine priority and length class is aged.
///
/// An aged medium or long request has the first engine priority of its team, as short requests do.
/// For team priorities from 85 on, the engine priority is 255 for all classes, and every medium or
/// long request counts as aged.
pub fn is_aged(priority: u8, class: LengthClass) -> bool {
    class > LengthClass::Short && priority.is_multiple_of(LEVELS_PER_TEAM_PRIORITY)
}

/// What the router needs to know about a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// Estimated cost of the request.
    pub cost: Cost,
    /// Time since the entry started to look for a target.
    pub waited: Duration,
    /// Remaining time until the deadline.
    pub remaining: Duration,
    /// Whether an earlier attempt was accepted and then interrupted.
    ///
    /// A refusal would discard the part of the answer that the earlier attempt generated.
    pub resumed: bool,
}

impl RequestProfile {
    /// Returns whether the request has waited so long that it has the priority of short prompts.
    ///
    /// That is after a quarter of its time limit, but at most ten seconds.
    pub fn is_aged(&self) -> bool {
        let limit = self.waited + self.remaining;
        self.waited > limit.mul_f64(AGED_AFTER_FRACTION).min(MAX_AGED_AFTER)
    }

    /// Returns the engine priority; 0 is served first.
    ///
    /// Requests are ordered by the priority of the team, then by length class, shorter ones first.
    /// An aged request ranks with the short ones.
    pub fn priority(&self, team_priority: u8) -> u8 {
        let level = match self.cost.class() {
            LengthClass::Short => 0,
            _ if self.is_aged() => 0,
            LengthClass::Medium => 1,
            LengthClass::Long => 2,
        };
        team_priority.saturating_mul(LEVELS_PER_TEAM_PRIORITY).saturating_add(level)
    }

    /// Returns how long the request may wait for a target before it is refused.
    ///
    /// Short prompts are refused early, which serves their callers better. Long prompts may wait
    /// longer, but keep enough time for their prefill. A request with a partial answer may wait for
    /// its whole time limit.
    pub fn max_wait(&self) -> Duration {
        let limit = self.waited + self.remaining;
        if self.resumed {
            return limit;
        }
        match self.cost.class() {
            LengthClass::Short => (limit / 2).min(Duration::from_millis(1_500)),
            LengthClass::Medium => (limit / 2).min(Duration::from_secs(5)),
            LengthClass::Long => limit.mul_f64(0.7),
        }
    }
}
