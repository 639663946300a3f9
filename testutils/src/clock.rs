//! A clock that tests move.

use fulmarhead_lib::clock::Clock;
use std::{
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

/// A clock that stands still until a test moves it.
#[derive(Debug)]
pub struct ManualClock(Mutex<(Instant, SystemTime)>);

impl Default for ManualClock {
    #[expect(clippy::disallowed_methods, reason = "an instant can't be made in another way")]
    fn default() -> Self {
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_790_000_000);
        Self(Mutex::new((Instant::now(), wall)))
    }
}

impl ManualClock {
    /// Moves both times forward.
    pub fn advance(&self, by: Duration) {
        let mut times = self.0.lock().expect("no holder of the lock panics");
        times.0 += by;
        times.1 += by;
    }

    /// Sets the wall-clock time alone, as a time server may.
    pub fn step_wall(&self, wall: SystemTime) {
        self.0.lock().expect("no holder of the lock panics").1 = wall;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.0.lock().expect("no holder of the lock panics").0
    }

    fn wall(&self) -> SystemTime {
        self.0.lock().expect("no holder of the lock panics").1
    }
}
