//! Cold start of a target: its capacity is low at first and grows with finished requests.

/// Capacity of a target while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdSettings {
    /// Whether the target is cold when it first starts; after a restart it is always cold.
    pub starts_cold: bool,
    /// Maximum number of concurrent requests of a cold target; one more makes it restart.
    pub capacity: u64,
    /// Number of concurrent requests that each finished request adds to the capacity.
    pub growth: u64,
    /// Number of finished requests after which the target is warm and has no such limit.
    pub warm_after: u64,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self { starts_cold: false, capacity: 8, growth: 2, warm_after: 24 }
    }
}

/// Warm-up progress of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmupState {
    settings: ColdSettings,
    finished: u64,
}

impl WarmupState {
    /// Returns the progress of a target that starts for the first time.
    pub(crate) fn new(settings: ColdSettings) -> Self {
        let finished = if settings.starts_cold { 0 } else { settings.warm_after };
        Self { settings, finished }
    }

    /// Makes the target cold again.
    pub(crate) fn reset(&mut self) {
        self.finished = 0;
    }

    /// Counts a finished request towards the warm-up.
    pub(crate) fn count_finished(&mut self) {
        self.finished = self.finished.saturating_add(1);
    }

    /// Returns whether the target can serve `requests` concurrent requests without a restart.
    pub(crate) fn can_serve(&self, requests: u64) -> bool {
        let is_warm = self.finished >= self.settings.warm_after;
        is_warm || requests <= self.settings.capacity + self.finished * self.settings.growth
    }
}
