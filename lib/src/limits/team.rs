//! Token budgets of teams, each entry with its share.

use crate::{
    cost::Cost,
    ids::{TeamId, Tokens},
    outcome::{Reason, Refusal},
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The share of a team's budget that one entry gives out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamBudget {
    /// Tokens a second.
    pub rate: Tokens,
    /// Tokens at once.
    pub burst: Tokens,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    filled: Instant,
}

/// Token buckets of all teams at one entry.
#[derive(Clone, Debug, Default)]
pub struct TeamLimiter {
    buckets: BTreeMap<TeamId, Bucket>,
}

impl TeamLimiter {
    /// Takes the cost of a request from the bucket of `team`.
    ///
    /// A request that costs more than the burst is admitted when the bucket is full, and leaves a
    /// debt that later requests wait for.
    pub fn take(
        &mut self,
        team: &str,
        budget: TeamBudget,
        cost: Cost,
        now: Instant,
    ) -> Result<(), Refusal> {
        let burst = budget.burst.max(1) as f64;
        let rate = budget.rate.max(1) as f64;
        if !self.buckets.contains_key(team) {
            self.buckets.insert(team.to_owned(), Bucket { level: burst, filled: now });
        }
        let Some(bucket) = self.buckets.get_mut(team) else { return Ok(()) };
        let passed = now.saturating_duration_since(bucket.filled).as_secs_f64();
        bucket.level = (bucket.level + passed * rate).min(burst);
        bucket.filled = now;
        let cost = cost.kv_tokens() as f64;
        let needed = cost.min(burst);
        if bucket.level < needed {
            let wait = Duration::from_secs_f64((needed - bucket.level) / rate);
            return Err(Refusal::not_run(Reason::TeamLimit).with_retry_after(wait));
        }
        bucket.level -= cost;
        Ok(())
    }

    /// Forgets the teams that `keep` does not name, as after a change of the configuration.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.buckets.retain(|team, _| keep(team));
    }

    /// Gives back tokens that a request was charged for and did not use.
    pub fn refund(&mut self, team: &str, budget: TeamBudget, tokens: Tokens) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level = (bucket.level + tokens as f64).min(budget.burst as f64);
        }
    }
}
