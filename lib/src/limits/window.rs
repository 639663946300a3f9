//! A retry budget that entries share without a counter: each keeps to its own part.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Bounds of the budget of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetrySettings {
    /// Retries for each request of the same window.
    pub share: f64,
    /// Retries beyond that in each window, over all entries.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Part of the bounds that is used, so that a request that crosses the edge of a window and an
/// entry that has not been heard of yet fit in.
const USED_PART: f64 = 0.6;

/// Requests and retries of one service at one entry, in one window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RetryWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    /// Records a request of a caller at `now`.
    pub fn request(&mut self, settings: &SharedRetrySettings, now: Instant) {
        forget(&mut self.requests, settings.window, now);
        self.requests.push_back(now);
    }

    /// Returns whether this entry's part of the budget, which `entries` share, allows one more
    /// retry at `now`.
    pub fn allows(&self, settings: &SharedRetrySettings, entries: usize, now: Instant) -> bool {
        let earned = settings.share * count(&self.requests, settings.window, now) as f64;
        let budget = USED_PART * (earned + settings.slack / entries.max(1) as f64);
        (count(&self.retries, settings.window, now) + 1) as f64 <= budget
    }

    /// Takes one retry at `now`; returns whether the budget allows it.
    pub fn withdraw(
        &mut self,
        settings: &SharedRetrySettings,
        entries: usize,
        now: Instant,
    ) -> bool {
        forget(&mut self.retries, settings.window, now);
        let allowed = self.allows(settings, entries, now);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }
}

fn count(times: &VecDeque<Instant>, window: Duration, now: Instant) -> usize {
    times.iter().rev().take_while(|&&at| now.saturating_duration_since(at) < window).count()
}

fn forget(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|&at| now.saturating_duration_since(at) >= window) {
        times.pop_front();
    }
}
