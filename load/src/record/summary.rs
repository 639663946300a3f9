//! Counts and latencies of one group of requests.

use super::result::RequestResult;
use hdrhistogram::{CreationError, Histogram};
use serde::Serialize;
use std::time::Duration;

/// Longest time that the histograms record.
const MAX_TIME_MICROS: u64 = 3_600_000_000;

/// Precision of the histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Numbers of requests by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests sent, whatever their result.
    pub sent: u64,
    /// Requests whose response arrived completely.
    pub complete: u64,
    /// Requests that the fleet refused.
    pub refused: u64,
    /// Requests whose response ended early.
    pub broken: u64,
    /// Requests that failed with an [`ErrorKind`](super::ErrorKind).
    pub errors: u64,
}

impl Counts {
    /// Counts the result of a request; `sent` is counted separately.
    pub fn record_result(&mut self, result: RequestResult) {
        match result {
            RequestResult::Complete => self.complete += 1,
            RequestResult::Refused(_) => self.refused += 1,
            RequestResult::Broken => self.broken += 1,
            RequestResult::Error(_) => self.errors += 1,
        }
    }
}

/// Counts and latencies of one group of requests, in microseconds.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Numbers of requests by result.
    pub counts: Counts,
    /// Times to the first token, or to the response of a call.
    pub first_token: Histogram<u64>,
    /// Times between consecutive tokens.
    pub token_gaps: Histogram<u64>,
    /// Times from the arrival to the refusal.
    pub refusal_times: Histogram<u64>,
}

impl Summary {
    /// Returns an empty summary, or an error if a histogram can't be created.
    pub fn new() -> Result<Self, CreationError> {
        Ok(Self {
            counts: Counts::default(),
            first_token: Histogram::new_with_bounds(1, MAX_TIME_MICROS, SIGNIFICANT_DIGITS)?,
            token_gaps: Histogram::new_with_bounds(1, MAX_TIME_MICROS, SIGNIFICANT_DIGITS)?,
            refusal_times: Histogram::new_with_bounds(1, MAX_TIME_MICROS, SIGNIFICANT_DIGITS)?,
        })
    }
}

/// Records a time in microseconds; a time out of range counts as the nearest bound.
pub(super) fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record((time.as_micros() as u64).max(1));
}
