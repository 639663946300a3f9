//! Bound on the rate at which requests are started at a target.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Length of the sliding window in which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Share of the bound that is used. The rest covers slow connection setup, with which requests
/// arrive later than they were counted.
const RATE_SHARE: f64 = 0.8;

/// Bound on the starts at a cold target, in total over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartBound {
    /// Factor on the rate of the cold target that starts may reach.
    pub rate_factor: f64,
    /// Additional starts a second.
    pub extra_starts: f64,
}

impl StartBound {
    /// Returns the starts a second that one of `entries` entries may make at a target that accepts
    /// `rate` requests a second while it is cold.
    pub fn share(&self, rate: f64, entries: usize) -> f64 {
        RATE_SHARE * (rate * self.rate_factor + self.extra_starts) / entries.max(1) as f64
    }
}

/// Sliding window of the requests started at one target in the last second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartWindow(VecDeque<Instant>);

impl StartWindow {
    /// Records a start at `now` and removes expired ones.
    pub fn record(&mut self, now: Instant) {
        while self.0.front().is_some_and(|&at| now.saturating_duration_since(at) >= WINDOW) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Returns whether one more start at `now` stays within `rate` starts a second.
    ///
    /// One start a second is always allowed, even if `rate` is below 1.
    pub fn allows(&self, rate: f64, now: Instant) -> bool {
        (self.count(now) + 1) as f64 <= rate.max(1.0)
    }

    /// Returns the number of starts in the last second before `now`.
    pub fn count(&self, now: Instant) -> usize {
        self.0.iter().filter(|&&at| now.saturating_duration_since(at) < WINDOW).count()
    }
}
