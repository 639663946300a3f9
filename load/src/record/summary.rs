//! Counts and latencies of one group of requests.

use super::ending::Ending;
use hdrhistogram::{CreationError, Histogram};
use serde::Serialize;
use std::time::Duration;

/// Longest time that is recorded, in microseconds.
const LONGEST: u64 = 3_600_000_000;

/// Significant digits of the recorded times.
const DIGITS: u8 = 3;

/// Numbers of requests by ending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Sent requests.
    pub sent: u64,
    /// Complete answers.
    pub complete: u64,
    /// Refusals.
    pub refused: u64,
    /// Streams that broke off.
    pub broken: u64,
    /// Errors.
    pub errors: u64,
}

impl Counts {
    /// Counts an ending.
    pub fn end(&mut self, ending: Ending) {
        match ending {
            Ending::Complete => self.complete += 1,
            Ending::Refused(_) => self.refused += 1,
            Ending::Broken => self.broken += 1,
            Ending::Error(_) => self.errors += 1,
        }
    }
}

/// Counts and latencies of one group of requests, in microseconds.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Numbers of requests.
    pub counts: Counts,
    /// Times to the first token, or to the answer of a call.
    pub first: Histogram<u64>,
    /// Times between two tokens.
    pub gaps: Histogram<u64>,
    /// Times to the refusal.
    pub refusals: Histogram<u64>,
}

impl Summary {
    /// Returns an empty summary.
    pub fn new() -> Result<Self, CreationError> {
        Ok(Self {
            counts: Counts::default(),
            first: Histogram::new_with_bounds(1, LONGEST, DIGITS)?,
            gaps: Histogram::new_with_bounds(1, LONGEST, DIGITS)?,
            refusals: Histogram::new_with_bounds(1, LONGEST, DIGITS)?,
        })
    }
}

/// Records a time; one that is out of range counts as the nearest bound.
pub(super) fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record((time.as_micros() as u64).max(1));
}
