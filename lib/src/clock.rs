//! The clock as an interface, so that tests and the model check set the time.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which may step in either direction.
    fn wall(&self) -> SystemTime;

    /// Returns the time since the VM started, which counts while it is suspended.
    fn uptime(&self) -> Duration;
}

/// A clock that several tasks share.
pub type SharedClock = Arc<dyn Clock>;

/// Wall-clock time that never steps: the wall clock at creation plus monotonic time since then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SteadyWall {
    start: Instant,
    wall: SystemTime,
}

impl SteadyWall {
    /// Reads both times of `clock` once.
    pub fn new(clock: &dyn Clock) -> Self {
        Self { start: clock.now(), wall: clock.wall() }
    }

    /// Converts a monotonic time to wall-clock time.
    pub fn at(&self, now: Instant) -> SystemTime {
        self.wall + now.saturating_duration_since(self.start)
    }
}
