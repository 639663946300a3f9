//! Cold start of a target: it carries few requests and warms with finished ones.

/// Cold start of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdSettings {
    /// Whether the target is cold at its start; it is always cold after a restart.
    pub at_start: bool,
    /// Requests that a cold target carries; one more makes it restart.
    pub capacity: u64,
    /// Requests that each finished request adds to the capacity.
    pub growth: u64,
    /// Finished requests after which the target is warm.
    pub warm_after: u64,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self { at_start: false, capacity: 8, growth: 2, warm_after: 24 }
    }
}

/// How warm a target is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Warmth {
    settings: ColdSettings,
    finished: u64,
}

impl Warmth {
    /// Returns the warmth of a target at its start.
    pub(crate) fn new(settings: ColdSettings) -> Self {
        let finished = if settings.at_start { 0 } else { settings.warm_after };
        Self { settings, finished }
    }

    /// Makes the target cold.
    pub(crate) fn turn_cold(&mut self) {
        self.finished = 0;
    }

    /// Counts a finished request.
    pub(crate) fn count_finished(&mut self) {
        self.finished = self.finished.saturating_add(1);
    }

    /// Returns whether the target can carry `requests` requests without a restart.
    pub(crate) fn carries(&self, requests: u64) -> bool {
        let warm = self.finished >= self.settings.warm_after;
        warm || requests <= self.settings.capacity + self.finished * self.settings.growth
    }
}
