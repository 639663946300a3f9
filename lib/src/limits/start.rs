//! How many requests a target gets in a second.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Window of the bound.
const WINDOW: Duration = Duration::from_secs(1);

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
