//! How a target has treated the requests of this entry.

use std::time::{Duration, Instant};

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target gave a whole answer.
    Answered,
    /// The target refused because it has too much work.
    Full,
    /// Another target has the address, or this one leaves.
    Gone,
    /// The target failed, broke off or did not answer.
    Failed,
    /// The caller left or the time was up, which says nothing about the target.
    Abandoned,
}

/// Pause after the first failure in a row; a target that restarts takes about as long.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause between two tries of a failing target, short against the time that targets live.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Pause after a refusal for lack of room, about the time of one short answer.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// Weight of the newest result in the mean of failures: the last ten results or so count.
const FAILURE_WEIGHT: f64 = 0.1;

/// Recent results of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    in_a_row: u32,
    failure_rate: f64,
    pause_end: Option<Instant>,
}

impl Health {
    /// Records the result of an attempt that ended at `now`.
    pub fn record(&mut self, result: AttemptResult, now: Instant) {
        match result {
            AttemptResult::Answered => {
                self.in_a_row = 0;
                self.pause_end = None;
                self.failure_rate *= 1.0 - FAILURE_WEIGHT;
            }
            AttemptResult::Full => self.pause_end = Some(now + FULL_PAUSE),
            AttemptResult::Gone => self.pause_end = Some(now + LONGEST_PAUSE),
            AttemptResult::Failed => self.fail(now),
            AttemptResult::Abandoned => {}
        }
    }

    /// Returns whether new work is kept away from the target at `now`.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.pause_end.is_some_and(|end| now < end)
    }

    /// Returns the share of the last attempts that failed.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn fail(&mut self, now: Instant) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.in_a_row.min(8)).min(LONGEST_PAUSE);
        self.in_a_row += 1;
        self.pause_end = Some(now + pause);
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
    }
}
