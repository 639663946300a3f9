//! Times of the models: whole steps from one fixed start.

use fulmarhead_lib::clock::{Clock, MonotonicWallClock};
use std::time::{Duration, Instant, SystemTime};
use testutils::ManualClock;

/// Number of a time step, counted from 0.
pub type Step = u8;

/// Times of one model; all states of a search use the same.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    start: Instant,
    wall: SystemTime,
    step: Duration,
}

impl Times {
    /// Returns times whose steps take `step`.
    pub fn new(step: Duration) -> Self {
        let clock = ManualClock::default();
        Self { start: clock.now(), wall: clock.wall(), step }
    }

    /// Returns the time that a step takes.
    pub fn step(&self) -> Duration {
        self.step
    }

    /// Returns the monotonic time of a step.
    pub fn now(&self, step: Step) -> Instant {
        self.start + self.step * u32::from(step)
    }

    /// Returns the wall-clock time of a step.
    pub fn wall(&self, step: Step) -> SystemTime {
        self.wall + self.step * u32::from(step)
    }

    /// Returns the clock of a process that starts at `step`.
    pub fn steady(&self, step: Step) -> MonotonicWallClock {
        MonotonicWallClock::new(&At { times: *self, step })
    }
}

/// A clock that stands at one step.
struct At {
    times: Times,
    step: Step,
}

impl Clock for At {
    fn now(&self) -> Instant {
        self.times.now(self.step)
    }

    fn wall(&self) -> SystemTime {
        self.times.wall(self.step)
    }
    fn uptime(&self) -> Duration {
        self.times.step * u32::from(self.step)
    }
}
