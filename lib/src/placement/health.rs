//! Health of a target, from the results of the attempts that this entry made there.

use std::time::{Duration, Instant};

/// Outcome of one attempt at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target sent a complete answer.
    Answered,
    /// The target refused the request because it is overloaded.
    Full,
    /// The address now belongs to another target, or the target is shutting down.
    Gone,
    /// The target returned an error, closed the stream early or did not answer.
    Failed,
    /// No connection to the target could be established.
    Unreachable,
    /// The caller disconnected or the deadline passed, which says nothing about the target.
    Abandoned,
}

/// Back-off after a first failure, about as long as a restart of a target.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Upper bound of the exponential back-off, and the back-off of a target that is gone; short
/// compared with the lifetime of a target.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Back-off after a refusal because of overload, about the duration of one short answer.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(60);

/// Weight of the newest result in the moving average of failures, which covers roughly the last
/// ten results.
const FAILURE_WEIGHT: f64 = 0.1;

/// Failure rate and back-off of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    consecutive_failures: u32,
    failure_rate: f64,
    backoff_until: Option<Instant>,
}

impl Health {
    /// Records the result of an attempt that ended at `now`.
    ///
    /// Consecutive failures double the back-off up to a limit, and an answer ends it. An overload
    /// refusal or a target that is gone replaces it by a fixed one. Only answers and failures
    /// change the failure rate.
    pub fn record(&mut self, result: AttemptResult, now: Instant) {
        match result {
            AttemptResult::Answered => {
                self.consecutive_failures = 0;
                self.backoff_until = None;
                self.failure_rate *= 1.0 - FAILURE_WEIGHT;
            }
            AttemptResult::Full => self.backoff_until = Some(now + OVERLOAD_BACKOFF),
            AttemptResult::Gone => self.backoff_until = Some(now + MAX_BACKOFF),
            AttemptResult::Failed | AttemptResult::Unreachable => self.record_failure(now),
            AttemptResult::Abandoned => {}
        }
    }

    /// Returns whether the target should get no new requests at `now`.
    pub fn in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|end| now < end)
    }

    /// Returns the exponential moving average of failures, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn record_failure(&mut self, now: Instant) {
        let backoff =
            INITIAL_BACKOFF.saturating_mul(1 << self.consecutive_failures.min(8)).min(MAX_BACKOFF);
        self.consecutive_failures += 1;
        self.backoff_until = Some(now + backoff);
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
    }
}
