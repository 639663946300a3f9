//! Cold start: a cold engine carries few requests and warms with finished ones.

use super::settings::ColdSettings;

/// How warm an engine is.
#[derive(Clone, Copy, Debug)]
pub(super) struct Warmth {
    settings: ColdSettings,
    finished: u64,
}

impl Warmth {
    /// Returns the warmth of an engine at its start.
    pub(super) fn new(settings: ColdSettings) -> Self {
        let finished = if settings.at_start { 0 } else { settings.warm_after };
        Self { settings, finished }
    }

    /// Makes the engine cold.
    pub(super) fn turn_cold(&mut self) {
        self.finished = 0;
    }

    /// Counts a finished request.
    pub(super) fn count_finished(&mut self) {
        self.finished = self.finished.saturating_add(1);
    }

    /// Returns whether the engine can carry `requests` requests without a restart.
    pub(super) fn carries(&self, requests: u64) -> bool {
        let warm = self.finished >= self.settings.warm_after;
        warm || requests <= self.settings.capacity + self.finished * self.settings.growth
    }
}
