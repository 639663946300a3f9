//! Clock interface, which lets tests and the model checker control the time.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the current monotonic time.
    fn now(&self) -> Instant;

    /// Returns the current wall-clock time, which may step forwards or backwards.
    fn wall(&self) -> SystemTime;

    /// Returns the time since the VM started, including the time while it was suspended.
    fn uptime(&self) -> Duration;
}

/// A clock shared by several tasks.
pub type SharedClock = Arc<dyn Clock>;

/// A wall clock that never steps: the wall-clock time at creation plus the monotonic time since
/// then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MonotonicWallClock {
    start: Instant,
    wall: SystemTime,
}

impl MonotonicWallClock {
    /// Creates the clock from the current wall-clock and monotonic times of `clock`.
    pub fn new(clock: &dyn Clock) -> Self {
        Self { start: clock.now(), wall: clock.wall() }
    }

    /// Converts a monotonic time to wall-clock time.
    ///
    /// Times before the creation of this clock give the wall-clock time at its creation.
    pub fn at(&self, time: Instant) -> SystemTime {
        self.wall + time.saturating_duration_since(self.start)
    }
}
