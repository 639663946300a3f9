//! Which requests an entry still takes while it stops, and when it ends those in progress.

use crate::{request::Deadline, routes::RetryPolicy};
use std::time::{Duration, Instant};

/// Time after the begin of the stop during which new connections are still accepted: the load
/// balancer probes once a second, and stops sending connections after two failed probes.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);

/// Largest share of the grace period that this time takes, so that requests can end after it.
const MAX_DEREGISTRATION_SHARE: f64 = 0.4;

/// Time after the begin of the stop at which connections are aborted, as a share of the grace period
/// after which the process is killed.
const ABORT_TIME_SHARE: f64 = 0.96;

/// Time before the abort at which requests in progress are ended, so that their responses reach the
/// callers.
const END_MARGIN: Duration = Duration::from_millis(250);

/// Largest share of the time between the drain and the abort that this takes.
const MAX_END_MARGIN_SHARE: f64 = 0.2;

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
        Self::with_delays(now, deregistration_delay(grace), Self::abort_delay(grace))
    }

    /// Returns the schedule of a stop that begins at `now`. New connections are accepted for
    /// `drain_time`, and those that are still open are aborted `abort_delay` after that.
    pub fn with_delays(now: Instant, drain_time: Duration, abort_delay: Duration) -> Self {
        let margin = END_MARGIN.min(abort_delay.mul_f64(MAX_END_MARGIN_SHARE));
        let deregistered_at = now + drain_time;
        Self { deregistered_at, ends_at: deregistered_at + abort_delay - margin }
    }

    /// Returns the schedule of a stop that begins at `now` because the process has failed. New
    /// connections are not accepted, so that all else is earlier by the time for them.
    pub fn of_failure(now: Instant, grace: Duration) -> Self {
        Self::with_delays(now, Duration::ZERO, Self::abort_delay(grace))
    }

    /// Returns the time between the end of [`Self::until_deregistered`] and the abort of connections.
    pub fn abort_delay(grace: Duration) -> Duration {
        grace.mul_f64(ABORT_TIME_SHARE).saturating_sub(deregistration_delay(grace))
    }

    /// Returns the time from `now` on during which the load balancer may send connections.
    pub fn until_deregistered(&self, now: Instant) -> Duration {
        self.deregistered_at.saturating_duration_since(now)
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

fn deregistration_delay(grace: Duration) -> Duration {
    DEREGISTRATION_DELAY.min(grace.mul_f64(MAX_DEREGISTRATION_SHARE))
}
