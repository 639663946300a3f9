//! A rate limit that all callers of a service share.

use std::time::{Duration, Instant};

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
            return Err(Duration::from_secs_f64((1.0 - self.available) / self.rate));
        }
        self.available -= 1.0;
        Ok(())
    }
}
