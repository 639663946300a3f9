//! Request rate that a target accepts from all entries together.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Thousandths of a request in one request.
const UNITS: f64 = 1_000.0;

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

    /// Returns the number of requests in `time`.
    pub fn in_time(self, time: Duration) -> f64 {
        self.per_second() * time.as_secs_f64()
    }
}
