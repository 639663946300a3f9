//! How many requests a target gets in a second.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Window of the bound.
const WINDOW: Duration = Duration::from_secs(1);

/// Part of the bound that is used; the rest is for connections that take long to be set up, so
/// that a request arrives later than it was counted.
const USED_PART: f64 = 0.8;

/// How far the starts at a cold target may exceed its rate, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartBound {
    /// Factor of the rate.
    pub overrun: f64,
    /// Starts in each second beyond that.
    pub tolerance: f64,
}

impl StartBound {
    /// Returns the starts in each second that one of `entries` entries may make at a target that
    /// takes `rate` while it is cold.
    pub fn share(&self, rate: f64, entries: usize) -> f64 {
        USED_PART * (rate * self.overrun + self.tolerance) / entries.max(1) as f64
    }
}

/// Starts of the last second at one target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartWindow(VecDeque<Instant>);

impl StartWindow {
    /// Records a start at `now`.
    pub fn record(&mut self, now: Instant) {
        while self.0.front().is_some_and(|&at| now.saturating_duration_since(at) >= WINDOW) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Returns whether one more start at `now` keeps within `rate` starts in each second; one
    /// start is always within it.
    pub fn allows(&self, rate: f64, now: Instant) -> bool {
        let recent = self.0.iter().filter(|&&at| now.saturating_duration_since(at) < WINDOW);
        (recent.count() + 1) as f64 <= rate.max(1.0)
    }
}
