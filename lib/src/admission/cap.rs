//! Limit on the concurrent attempts of a target.
//!
//! A target is cold after a start, restart or failure. Its limit grows with successful attempts
//! until the target is warm.

use std::time::{Duration, Instant};

/// Limits of a target and the growth from cold to warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapSettings {
    /// Maximum number of concurrent attempts of a cold target.
    pub cold: u32,
    /// Maximum number of concurrent attempts of a warm target.
    pub warm: u32,
    /// Number of successful attempts at the current limit before it grows by half.
    pub growth_successes: u32,
    /// Minimum time between two growth steps.
    pub growth_interval: Duration,
}

impl Default for CapSettings {
    fn default() -> Self {
        Self { cold: 2, warm: 64, growth_successes: 4, growth_interval: Duration::from_millis(500) }
    }
}

/// The cap of one target: its current limit on concurrent attempts.
#[derive(Clone, Debug)]
pub(super) struct Cap {
    settings: CapSettings,
    limit: u32,
    successes: u32,
    last_growth: Instant,
}

impl Cap {
    /// Creates the cap of a cold target.
    pub(super) fn new(settings: CapSettings, now: Instant) -> Self {
        Self { settings, limit: settings.cold, successes: 0, last_growth: now }
    }

    /// Returns the maximum number of concurrent attempts.
    pub(super) fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the limit is below that of a warm target.
    pub(super) fn is_cold(&self) -> bool {
        self.limit < self.settings.warm
    }

    /// Counts a successful attempt and raises the limit if the growth conditions are met.
    pub(super) fn record_success(&mut self, now: Instant) {
        self.successes += 1;
        let interval_elapsed =
            now.saturating_duration_since(self.last_growth) >= self.settings.growth_interval;
        if self.successes < self.settings.growth_successes || !interval_elapsed {
            return;
        }
        self.limit = (self.limit + self.limit.div_ceil(2)).min(self.settings.warm);
        self.successes = 0;
        self.last_growth = now;
    }

    /// Resets the limit to that of a cold target.
    pub(super) fn reset(&mut self, now: Instant) {
        self.limit = self.settings.cold;
        self.successes = 0;
        self.last_growth = now;
    }
}
