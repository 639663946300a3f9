//! Discrete time of the models, counted in steps from a fixed start.

use fulmarhead_lib::clock::{Clock, MonotonicWallClock};
use std::time::{Duration, Instant, SystemTime};
use testutils::ManualClock;

/// Index of a time step, starting at 0, or a number of steps.
pub type Step = u8;

/// Converts steps to clock readings; all states of a search share one `StepClock`.
#[derive(Clone, Copy, Debug)]
pub struct StepClock {
    monotonic_start: Instant,
    wall_start: SystemTime,
    step_duration: Duration,
}

impl StepClock {
    /// Returns a clock whose steps last `step_duration` each.
    pub fn new(step_duration: Duration) -> Self {
        let clock = ManualClock::default();
        Self { monotonic_start: clock.now(), wall_start: clock.wall(), step_duration }
    }

    /// Returns the duration of one step.
    pub fn step_duration(&self) -> Duration {
        self.step_duration
    }

    /// Returns the monotonic time at `step`.
    pub fn now(&self, step: Step) -> Instant {
        self.monotonic_start + self.step_duration * u32::from(step)
    }

    /// Returns the wall-clock time at `step`.
    pub fn wall(&self, step: Step) -> SystemTime {
        self.wall_start + self.step_duration * u32::from(step)
    }

    /// Returns the wall clock of a process that starts at `step`. It derives wall-clock time from
    /// monotonic time, based on the readings at `step`.
    pub fn process_clock(&self, step: Step) -> MonotonicWallClock {
        MonotonicWallClock::new(&FixedClock { clock: *self, step })
    }
}

/// A clock that always reads the time of one step.
struct FixedClock {
    clock: StepClock,
    step: Step,
}

impl Clock for FixedClock {
    fn now(&self) -> Instant {
        self.clock.now(self.step)
    }

    fn wall(&self) -> SystemTime {
        self.clock.wall(self.step)
    }
    fn uptime(&self) -> Duration {
        self.clock.step_duration * u32::from(self.step)
    }
}
