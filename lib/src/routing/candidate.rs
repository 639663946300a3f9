//! A target that may take a piece of work, as an entry knows it.

use crate::{
    admission::PrefillQueue,
    control::Load,
    ids::{TargetId, Tokens, ZoneId},
};
use std::time::Duration;

/// A target that may take a piece of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Zone of the target.
    pub zone: ZoneId,
    /// Load at the last report.
    pub load: Load,
    /// Age of the last report.
    pub age: Duration,
    /// Requests that this entry has at the target.
    pub inflight: u32,
    /// What this entry did since the last report.
    pub since: Since,
    /// Whether the target refused work of this class a moment ago.
    pub refused: bool,
    /// Whether the target is one of those that take prompts over 100,000 tokens.
    pub takes_long: bool,
    /// Prompt tokens whose prefix the target probably has in its cache.
    pub cached: Tokens,
}

/// What an entry did at a target and the last report does not show yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Since {
    /// Attempts sent, less those that ended.
    pub running: i64,
    /// Prompts sent.
    pub queue: PrefillQueue,
    /// Memory of attempts sent, less that of those that ended, in tokens.
    pub memory: i64,
}

impl Candidate {
    /// Returns the attempts that probably run at the target now.
    pub fn running(&self) -> u32 {
        let running = i64::from(self.load.running) + self.since.running;
        (running.max(0) as u32).max(self.inflight)
    }

    /// Returns the prefill that probably waits at the target now.
    ///
    /// Between two reports the engine works off what was reported at its rate.
    pub fn queue(&self) -> PrefillQueue {
        let Load { prefill, medium_prefill: medium, long_prefill: long, .. } = self.load;
        let reported = PrefillQueue { short: prefill.saturating_sub(medium + long), medium, long };
        let done = (self.age.as_secs_f64() * self.load.prefill_rate as f64) as Tokens;
        reported.after_prefill(done).plus(self.since.queue)
    }

    /// Returns the memory that is probably free at the target now; unlimited for applications.
    pub fn free(&self) -> Tokens {
        if self.load.kv_total == 0 {
            return Tokens::MAX;
        }
        let used = (self.load.kv_used as i64).saturating_add(self.since.memory).max(0);
        self.load.kv_total.saturating_sub(used as Tokens)
    }
}
