//! Outcome of the recent calls to one peer.

use std::time::{Duration, Instant};

/// Delay before a failed peer is called again, about the time that a process takes to restart. It
/// doubles with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum delay before a failed peer is called again. Together with the timeout of a call to a VM
/// that is down, 600 ms, it is the time for which an entry may not notice that a peer has returned;
/// a fleet has to serve as before within 2 s.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// State of the calls to one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Contact {
    last_response: Option<Instant>,
    consecutive_failures: u32,
    retry_at: Option<Instant>,
}

impl Contact {
    pub(super) fn record_response(&mut self, now: Instant) {
        *self = Self { last_response: Some(now), ..Self::default() };
    }

    pub(super) fn record_failure(&mut self, now: Instant) {
        let factor = 1 << self.consecutive_failures.min(8);
        let delay = INITIAL_RETRY_DELAY.saturating_mul(factor).min(MAX_RETRY_DELAY);
        self.consecutive_failures += 1;
        self.retry_at = Some(now + delay);
    }

    /// Returns whether the last call succeeded.
    pub(super) fn is_verified(&self) -> bool {
        self.last_response.is_some() && self.consecutive_failures == 0
    }

    /// Returns whether the last call failed.
    pub(super) fn has_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Returns whether the peer, which has not answered the last call, may be called at `now`.
    pub(super) fn may_probe(&self, now: Instant) -> bool {
        !self.is_verified() && self.retry_at.is_none_or(|at| now >= at)
    }

    /// Returns whether the peer answered within `max_age` before `now`.
    pub(super) fn responded_within(&self, max_age: Duration, now: Instant) -> bool {
        self.last_response.is_some_and(|at| now.saturating_duration_since(at) <= max_age)
    }
}
