//! Routing candidates, with an entry's estimate of their current load.

use crate::{
    admission::PrefillQueue,
    control::Load,
    ids::{TargetId, Tokens, ZoneId},
};
use std::time::Duration;

/// A target that is eligible for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Identifier of the target.
    pub target: TargetId,
    /// Zone in which the target runs.
    pub zone: ZoneId,
    /// Last load received from the agent, in a report or with a response to work.
    pub load: Load,
    /// Time since `load` was received.
    pub load_age: Duration,
    /// Attempts that this entry has sent to the target and that have not ended.
    pub inflight: u32,
    /// Load that this entry has added or removed and that `load` does not include.
    pub unreported: UnreportedLoad,
    /// Whether the target refused a request of the same length class and its retry time has not
    /// passed.
    pub refused: bool,
    /// Whether the target is assigned to prompts over 100,000 tokens.
    pub accepts_long: bool,
    /// Length of the prompt's prefix that the target probably has in its cache, in tokens.
    pub cached_tokens: Tokens,
}

/// Load that an entry has added to or removed from a target and that the last load received from
/// the agent does not include.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnreportedLoad {
    /// Attempts sent minus attempts ended.
    pub running: i64,
    /// Prefill of the prompts sent.
    pub queue: PrefillQueue,
    /// KV cache of the attempts sent minus that of the attempts ended, in tokens.
    pub memory: i64,
}

impl Candidate {
    /// Returns the estimated number of attempts running at the target now.
    ///
    /// It is at least the number of attempts of this entry that have not ended.
    pub fn running(&self) -> u32 {
        let running = i64::from(self.load.running) + self.unreported.running;
        (running.max(0) as u32).max(self.inflight)
    }

    /// Returns the estimated prefill waiting at the target now.
    ///
    /// Assumes that the engine has processed the reported prefill at its reported rate since then.
    pub fn queue(&self) -> PrefillQueue {
        let Load { prefill, medium_prefill: medium, long_prefill: long, .. } = self.load;
        let reported = PrefillQueue { short: prefill.saturating_sub(medium + long), medium, long };
        let processed = (self.load_age.as_secs_f64() * self.load.prefill_rate as f64) as Tokens;
        reported.after_prefill(processed).plus(self.unreported.queue)
    }

    /// Returns the estimated free KV cache of the target now, in tokens; `Tokens::MAX` for a target
    /// that reports no KV cache, such as an application worker.
    pub fn free_tokens(&self) -> Tokens {
        if self.load.kv_total == 0 {
            return Tokens::MAX;
        }
        let used = (self.load.kv_used as i64).saturating_add(self.unreported.memory).max(0);
        self.load.kv_total.saturating_sub(used as Tokens)
    }
}
