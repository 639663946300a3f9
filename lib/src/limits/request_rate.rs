//! Request rate that a target accepts from all entries together, and its division among them.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Thousandths of a request in one request.
const UNITS: f64 = 1_000.0;

/// Share of the limit that is used. The rest covers requests that arrive later than they were
/// counted, and entries that for a moment know different entries.
const RATE_SHARE: f64 = 0.9;

/// Rate in total that is used of a smaller limit, so that its end is noticed; one request in 10 s.
const MIN_RATE: f64 = 0.1;

/// Entries that may send besides one for each request a second. Each of them can save up a request,
/// so that more would exceed the allowed burst.
const MIN_SENDERS: usize = 3;

/// Time whose requests a sender can save up, if those are more than one.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Longest time in which the requests before the limit are made up for.
const MAX_DEBT_TIME: Duration = Duration::from_secs(3);

/// Rounding error of saved-up requests, far below the rounding of times.
const TOLERANCE: f64 = 1e-6;

/// Request rate, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate(u64);

/// The reason why a number is no request rate.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("a request rate of {0} a second is negative or not finite")]
pub struct RequestRateError(f64);

impl RequestRate {
    /// Returns the rate of `per_second` requests a second, rounded down to thousandths.
    ///
    /// # Errors
    ///
    /// Returns an error if the number is negative or not finite.
    pub fn new(per_second: f64) -> Result<Self, RequestRateError> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(RequestRateError(per_second));
        }
        Ok(Self((per_second * UNITS) as u64))
    }

    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS
    }

    /// Returns the rate in total that entries use.
    pub fn used_rate(self) -> f64 {
        (RATE_SHARE * self.per_second()).max(MIN_RATE)
    }

    /// Returns how many of `entries` entries may send, at least 1.
    ///
    /// With few of them, the requests that each can save up stay within the allowed burst, and each
    /// can send often enough to notice the end of the limit.
    pub fn sender_count(self, entries: usize) -> usize {
        let whole = self.per_second() as usize;
        entries.min(MIN_SENDERS.saturating_add(whole)).max(1)
    }

    /// Returns the share of each entry that may send, of `entries` entries in total.
    pub fn share(self, entries: usize) -> RateShare {
        RateShare { per_second: self.used_rate() / self.sender_count(entries) as f64 }
    }
}

/// Share of a request rate that one entry uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Requests a second; above 0.
    pub per_second: f64,
}

impl RateShare {
    /// Returns the number of requests that the entry can save up, at least 1.
    fn burst(self) -> f64 {
        (self.per_second * BURST_TIME.as_secs_f64()).max(1.0)
    }
}

/// Requests that an entry has saved up of its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBucket {
    share: RateShare,
    /// Saved-up requests at `counted_at`; negative if the entry has sent more than its share.
    saved: f64,
    counted_at: Instant,
}

impl RateBucket {
    /// Returns a bucket that is empty at `now`, and below that by the number of requests that the
    /// entry has recently sent without a share.
    pub fn new(share: RateShare, recent_sends: usize, now: Instant) -> Self {
        let max_debt = share.per_second * MAX_DEBT_TIME.as_secs_f64();
        let saved = -(recent_sends as f64).min(max_debt);
        Self { share, saved, counted_at: now }
    }

    /// Returns the share of the entry.
    pub fn share(&self) -> RateShare {
        self.share
    }

    /// Sets the share of the entry from `now` on.
    pub fn set_share(&mut self, share: RateShare, now: Instant) {
        self.saved = self.saved(now).min(share.burst());
        self.share = share;
        self.counted_at = now;
    }

    /// Returns the time until the entry may send a request.
    pub fn wait(&self, now: Instant) -> Duration {
        let missing = 1.0 - self.saved(now);
        if missing <= TOLERANCE {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.share.per_second).unwrap_or(Duration::MAX)
    }

    /// Records that the entry sends a request.
    pub fn record_send(&mut self, now: Instant) {
        self.saved = self.saved(now) - 1.0;
        self.counted_at = now;
    }

    fn saved(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.counted_at).as_secs_f64();
        (self.saved + self.share.per_second * elapsed).min(self.share.burst())
    }
}
