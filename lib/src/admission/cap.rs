//! The cap on concurrent requests of a target, low while it is cold.

use std::time::{Duration, Instant};

/// Bounds of the cap and how it grows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapSettings {
    /// Concurrent requests of a cold target.
    pub cold: u32,
    /// Concurrent requests of a warm target.
    pub warm: u32,
    /// Successes at the current cap before it grows by half.
    pub successes: u32,
    /// Shortest time between two steps of growth.
    pub interval: Duration,
}

impl Default for CapSettings {
    fn default() -> Self {
        Self { cold: 2, warm: 64, successes: 4, interval: Duration::from_millis(500) }
    }
}

/// The cap of one target.
#[derive(Clone, Debug)]
pub(super) struct Cap {
    settings: CapSettings,
    limit: u32,
    successes: u32,
    grown: Instant,
}

impl Cap {
    /// Returns the cap of a cold target.
    pub(super) fn new(settings: CapSettings, now: Instant) -> Self {
        Self { settings, limit: settings.cold, successes: 0, grown: now }
    }

    /// Returns how many requests may run at once.
    pub(super) fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the cap is below that of a warm target.
    pub(super) fn is_cold(&self) -> bool {
        self.limit < self.settings.warm
    }

    /// Counts a success and grows the cap after enough of them.
    pub(super) fn succeed(&mut self, now: Instant) {
        self.successes += 1;
        let rested = now.saturating_duration_since(self.grown) >= self.settings.interval;
        if self.successes < self.settings.successes || !rested {
            return;
        }
        self.limit = (self.limit + self.limit.div_ceil(2)).min(self.settings.warm);
        self.successes = 0;
        self.grown = now;
    }

    /// Falls back to the cap of a cold target.
    pub(super) fn reset(&mut self, now: Instant) {
        self.limit = self.settings.cold;
        self.successes = 0;
        self.grown = now;
    }
}
