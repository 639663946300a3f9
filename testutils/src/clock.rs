//! A clock that tests move.

use fulmarhead_lib::clock::Clock;
use std::{
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

/// A clock that stands still until a test moves it.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    times: Mutex<(Instant, SystemTime)>,
    suspended: Mutex<Duration>,
}

impl Default for ManualClock {
    #[expect(clippy::disallowed_methods, reason = "an instant can't be made in another way")]
    fn default() -> Self {
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_790_000_000);
        let start = Instant::now();
        let times = Mutex::new((start, wall));
        Self { start, times, suspended: Mutex::default() }
    }
}

impl ManualClock {
    /// Moves both times forward.
    pub fn advance(&self, by: Duration) {
        let mut times = self.times.lock().expect("no holder of the lock panics");
        times.0 += by;
        times.1 += by;
    }

    /// Moves the time of day and the uptime, as the suspension of a VM does.
    pub fn suspend(&self, by: Duration) {
        self.times.lock().expect("no holder of the lock panics").1 += by;
        *self.suspended.lock().expect("no holder of the lock panics") += by;
    }

    /// Sets the wall-clock time alone, as a time server may.
    pub fn step_wall(&self, wall: SystemTime) {
        self.times.lock().expect("no holder of the lock panics").1 = wall;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.times.lock().expect("no holder of the lock panics").0
    }

    fn wall(&self) -> SystemTime {
        self.times.lock().expect("no holder of the lock panics").1
    }
    fn uptime(&self) -> Duration {
        let (now, start) = (self.now(), self.start);
        now.duration_since(start) + *self.suspended.lock().expect("no holder of the lock panics")
    }
}
