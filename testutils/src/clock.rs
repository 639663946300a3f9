//! Clock that tests advance by hand.

use fulmarhead_lib::clock::Clock;
use std::{
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

/// Clock that does not advance by itself.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    times: Mutex<(Instant, SystemTime)>,
    suspended: Mutex<Duration>,
}

impl Default for ManualClock {
    #[expect(clippy::disallowed_methods, reason = "there is no other way to construct an instant")]
    fn default() -> Self {
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_790_000_000);
        let start = Instant::now();
        let times = Mutex::new((start, wall));
        Self { start, times, suspended: Mutex::default() }
    }
}

impl ManualClock {
    /// Advances the monotonic and the wall-clock time.
    pub fn advance(&self, duration: Duration) {
        let mut times = self.times.lock().expect("no holder of the lock panics");
        times.0 += duration;
        times.1 += duration;
    }

    /// Advances the wall-clock time and the uptime, but not the monotonic time, as the
    /// suspension of a VM does.
    pub fn suspend(&self, duration: Duration) {
        self.times.lock().expect("no holder of the lock panics").1 += duration;
        *self.suspended.lock().expect("no holder of the lock panics") += duration;
    }

    /// Sets only the wall-clock time, as a time server may do.
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
