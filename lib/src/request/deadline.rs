//! Deadlines, transmitted as remaining time and measured with each process's monotonic clock.

use std::time::{Duration, Instant};

/// Deadline of a request on the monotonic clock of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// Returns the deadline `limit` after `now`.
    pub fn after(now: Instant, limit: Duration) -> Self {
        Self(now + limit)
    }

    /// Returns the remaining time, zero once the deadline has passed.
    pub fn remaining(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Returns whether the deadline is at or before `now`.
    pub fn has_passed(self, now: Instant) -> bool {
        self.0 <= now
    }

    /// Returns the deadline as an instant, for timers.
    pub fn instant(self) -> Instant {
        self.0
    }
}
