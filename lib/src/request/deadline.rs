//! Time limits, passed on as remaining time and counted on each process's monotonic clock.

use std::time::{Duration, Instant};

/// The end of a request's time limit on the clock of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// Returns the deadline `limit` after `now`.
    pub fn after(now: Instant, limit: Duration) -> Self {
        Self(now + limit)
    }

    /// Returns the time left, zero once the deadline has passed.
    pub fn remaining(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Returns whether the deadline has passed.
    pub fn has_passed(self, now: Instant) -> bool {
        self.0 <= now
    }

    /// Returns the time of the deadline.
    pub fn instant(self) -> Instant {
        self.0
    }
}
