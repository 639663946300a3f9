//! Rate limit that all callers of a service share.

use std::time::{Duration, Instant};

/// Retry delay that is reported if no call will ever be available.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Returns the value of `Retry-After` for `wait`: whole seconds, rounded up, at least 1.
pub(crate) fn retry_after(wait: Duration) -> String {
    (wait.as_secs_f64().ceil().max(1.0) as u64).to_string()
}

/// Token bucket in which each call costs one token.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    rate: f64,
    burst: f64,
    available: f64,
    updated_at: Instant,
}

impl RateLimit {
    /// Returns a full bucket of `burst` calls that refills at `rate` calls per second.
    pub(crate) fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self { rate, burst, available: burst, updated_at: now }
    }

    /// Withdraws one call, or returns the time until one is available as the error.
    pub(crate) fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        self.available = (self.available + elapsed.as_secs_f64() * self.rate).min(self.burst);
        if self.available < 1.0 {
            let wait = Duration::try_from_secs_f64((1.0 - self.available) / self.rate);
            return Err(wait.unwrap_or(MAX_WAIT));
        }
        self.available -= 1.0;
        Ok(())
    }
}
