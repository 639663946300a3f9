//! Implementation of the clock interface by the operating system.

use fulmarhead_lib::clock::{Clock, SharedClock};
use rustix::time::{ClockId, clock_gettime};
use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

/// Clock that reads the time of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl SystemClock {
    /// Returns a reference-counted clock.
    pub fn shared() -> SharedClock {
        Arc::new(Self)
    }
}

#[expect(clippy::disallowed_methods, reason = "the one place that reads the clock")]
impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
    fn uptime(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::try_from(time).unwrap_or_default()
    }
}
