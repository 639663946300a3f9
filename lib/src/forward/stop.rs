//! Which requests an entry still takes while it stops, and when it ends those in progress.

use crate::{request::Deadline, routes::RetryPolicy};
use std::time::{Duration, Instant};

/// Time after the begin of the stop during which new connections are still accepted: the load
/// balancer probes once a second, and stops sending connections after two failed probes.
pub const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);

/// Time after the begin of the stop at which connections are aborted, as a share of the grace period
/// after which the process is killed.
const ABORT_TIME_SHARE: f64 = 0.96;

/// Time before the abort at which requests in progress are ended, so that their responses reach the
/// callers.
const END_MARGIN: Duration = Duration::from_millis(250);

/// Times of the stop of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    deregistered_at: Instant,
    ends_at: Instant,
}

impl StopSchedule {
    /// Returns the schedule of a stop that begins at `now`, of a process that is killed after
    /// `grace`.
    pub fn new(now: Instant, grace: Duration) -> Self {
        Self::with_delays(now, DEREGISTRATION_DELAY, Self::abort_delay(grace))
    }

    /// Returns the schedule of a stop that begins at `now`. New connections are accepted for
    /// `drain_time`, and those that are still open are aborted `abort_delay` after that.
    pub fn with_delays(now: Instant, drain_time: Duration, abort_delay: Duration) -> Self {
        let deregistered_at = now + drain_time;
        Self { deregistered_at, ends_at: deregistered_at + abort_delay.saturating_sub(END_MARGIN) }
    }

    /// Returns the time after [`DEREGISTRATION_DELAY`] until connections are aborted.
    pub fn abort_delay(grace: Duration) -> Duration {
        grace.mul_f64(ABORT_TIME_SHARE).saturating_sub(DEREGISTRATION_DELAY)
    }

    /// Returns the time after [`DEREGISTRATION_DELAY`] until requests in progress are ended.
    pub fn end_delay(grace: Duration) -> Duration {
        Self::abort_delay(grace).saturating_sub(END_MARGIN)
    }

    /// Returns the time that requests in progress have at `now` until they are ended.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.ends_at.saturating_duration_since(now)
    }

    /// Returns whether a request that has arrived completely at `now` is taken.
    ///
    /// One that is certain to end before it would be ended always is. Of the others, those that may be
    /// repeated are taken while the load balancer still sends connections, since most end long
    /// before their deadline and callers can retry only a few times.
    pub fn admits(&self, retry_policy: RetryPolicy, deadline: Deadline, now: Instant) -> bool {
        deadline.has_passed(self.ends_at)
            || (retry_policy.allows_retry() && now < self.deregistered_at)
    }
}
