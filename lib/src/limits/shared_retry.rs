//! Retry budget for all entries together, of which each entry enforces its own share.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Settings of the retry budget of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetrySettings {
    /// Retries allowed for each request in the same window.
    pub ratio: f64,
    /// Additional retries in each window, in total over all entries.
    pub extra_retries: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Share of the budget that is used. The rest covers requests that leave the window before their
/// retries do, and entries that this entry does not know of yet.
const BUDGET_SHARE: f64 = 0.6;

/// Retry budget of one service at one entry: the entry's requests and retries in a sliding window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedRetryBudget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl SharedRetryBudget {
    /// Records a caller's request at `now`, which adds to the budget.
    pub fn record_request(&mut self, settings: &SharedRetrySettings, now: Instant) {
        remove_expired(&mut self.requests, settings.window, now);
        self.requests.push_back(now);
    }

    /// Returns whether this entry's share of the budget allows one more retry at `now`.
    ///
    /// The additional retries are divided evenly among `entries` entries.
    pub fn allows(&self, settings: &SharedRetrySettings, entries: usize, now: Instant) -> bool {
        let earned = settings.ratio * count_recent(&self.requests, settings.window, now) as f64;
        let budget = BUDGET_SHARE * (earned + settings.extra_retries / entries.max(1) as f64);
        (count_recent(&self.retries, settings.window, now) + 1) as f64 <= budget
    }

    /// Records one retry at `now` if the budget allows it, and returns whether it does.
    pub fn try_withdraw(
        &mut self,
        settings: &SharedRetrySettings,
        entries: usize,
        now: Instant,
    ) -> bool {
        remove_expired(&mut self.retries, settings.window, now);
        let allowed = self.allows(settings, entries, now);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }
}

fn count_recent(times: &VecDeque<Instant>, window: Duration, now: Instant) -> usize {
    times.iter().rev().take_while(|&&at| now.saturating_duration_since(at) < window).count()
}

fn remove_expired(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|&at| now.saturating_duration_since(at) >= window) {
        times.pop_front();
    }
}
