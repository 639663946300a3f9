//! Rate limits of teams in tokens, of which each entry enforces its own share.

use crate::{
    cost::Cost,
    ids::{TeamId, Tokens},
    outcome::{Reason, Refusal},
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Share of a team's budget that one entry enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamBudget {
    /// Refill rate, in tokens a second.
    pub rate: Tokens,
    /// Capacity of the bucket, in tokens.
    pub burst: Tokens,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    refilled_at: Instant,
}

/// Token buckets of all teams at one entry.
#[derive(Clone, Debug, Default)]
pub struct TeamLimiter {
    buckets: BTreeMap<TeamId, Bucket>,
}

impl TeamLimiter {
    /// Takes the cost of a request from the bucket of `team`.
    ///
    /// A request that costs more than the burst is admitted when the bucket is full. It leaves a
    /// negative level, which delays later requests.
    ///
    /// # Errors
    ///
    /// Returns a refusal with [`Reason::TeamLimit`] if the bucket has too few tokens, and with the
    /// time after which it has enough.
    pub fn try_take(
        &mut self,
        team: &str,
        budget: TeamBudget,
        cost: Cost,
        now: Instant,
    ) -> Result<(), Refusal> {
        let burst = budget.burst.max(1) as f64;
        let rate = budget.rate.max(1) as f64;
        if !self.buckets.contains_key(team) {
            self.buckets.insert(team.to_owned(), Bucket { level: burst, refilled_at: now });
        }
        let Some(bucket) = self.buckets.get_mut(team) else { return Ok(()) };
        let elapsed = now.saturating_duration_since(bucket.refilled_at).as_secs_f64();
        bucket.level = (bucket.level + elapsed * rate).min(burst);
        bucket.refilled_at = now;
        let cost = cost.kv_tokens() as f64;
        let needed = cost.min(burst);
        if bucket.level < needed {
            let wait = Duration::from_secs_f64((needed - bucket.level) / rate);
            return Err(Refusal::not_run(Reason::TeamLimit).with_retry_after(wait));
        }
        bucket.level -= cost;
        Ok(())
    }

    /// Removes the buckets of teams for which `keep` returns false, as after a change of the
    /// configuration.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.buckets.retain(|team, _| keep(team));
    }

    /// Returns to the bucket of `team` the tokens that a request was charged but did not use.
    pub fn refund(&mut self, team: &str, budget: TeamBudget, tokens: Tokens) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level = (bucket.level + tokens as f64).min(budget.burst as f64);
        }
    }
}
