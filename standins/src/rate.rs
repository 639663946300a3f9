//! A rate limit that all callers of a service share.

use std::time::{Duration, Instant};

/// Wait that is named when no call will be available.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// Returns the value of `Retry-After` for a wait, in whole seconds.
pub(crate) fn retry_after(wait: Duration) -> String {
    (wait.as_secs_f64().ceil().max(1.0) as u64).to_string()
}

/// A token bucket.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    rate: f64,
    burst: f64,
    available: f64,
    updated: Instant,
}

impl RateLimit {
    /// Returns a full bucket of `burst` calls that regains `rate` calls a second.
    pub(crate) fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self { rate, burst, available: burst, updated: now }
    }

    /// Takes one call, or returns the time until one is available.
    pub(crate) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = now;
        self.available = (self.available + elapsed.as_secs_f64() * self.rate).min(self.burst);
        if self.available < 1.0 {
            let wait = Duration::try_from_secs_f64((1.0 - self.available) / self.rate);
            return Err(wait.unwrap_or(LONGEST_WAIT));
        }
        self.available -= 1.0;
        Ok(())
    }
}
