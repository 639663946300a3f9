//! Whether a request that no engine can take now waits or is refused.

use crate::placement::Forecast;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Share of the time in which a new request can still be started for which it waits at most. The
/// rest is left for a return of its caller and a wait at another entry.
const NEW_WAIT_SHARE: f64 = 0.5;

/// Time before the deadline that a request must have left, besides its service, when its wait ends:
/// for the connection to the target and the way of the refusal to the caller.
const SEND_MARGIN: Duration = Duration::from_millis(100);

/// Shortest wait; the forecast is not exact enough for less.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Shortest time until the decision is made again, about the duration of one pass of an engine.
const MIN_REVIEW: Duration = Duration::from_millis(60);

/// What is known about a request that no engine can take now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Longest acceptable time from the arrival to the first event.
    pub objective: Duration,
    /// Time since the arrival.
    pub elapsed: Duration,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Whether the caller was refused before and has returned.
    pub returned: bool,
    /// Whether the request tolerates only short gaps, so that a late start also delays others.
    pub latency_sensitive: bool,
}

/// Reason for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No engine can complete the request before its deadline.
    Unservable,
    /// The request can't begin within its objective, or a new one has waited for its share of the
    /// time; its caller may return.
    Late,
    /// The queue of the entry has no place for the team.
    QueueFull,
}

/// Decision about a request that no engine can take now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The loads do not explain why no engine takes the request, so the forecast says nothing.
    Unknown,
    /// The request waits for at most this time, after which the decision is made again.
    Wait(Duration),
    /// The request is refused.
    Refuse(Cause),
}

impl Standing {
    /// Returns whether the request waits under `forecast`. `queued` says that it has a place in the
    /// queue, or that others are before it.
    ///
    /// A new latency-sensitive request waits only as long as it can be on time. Others wait until
    /// the last time at which they can be served, new ones only for a share of that.
    pub fn decide(&self, forecast: &Forecast, queued: bool) -> Decision {
        if forecast.is_immediate() && !queued {
            return Decision::Unknown;
        }
        if !forecast.is_servable(self.time_left) {
            return Decision::Refuse(Cause::Unservable);
        }
        let wait = self.wait_limit(forecast);
        if wait < MIN_WAIT || forecast.earliest > wait {
            return Decision::Refuse(Cause::Late);
        }
        Decision::Wait(wait.min(forecast.latest.max(MIN_REVIEW)))
    }

    /// Returns the time until the last moment at which the request may begin.
    fn wait_limit(&self, forecast: &Forecast) -> Duration {
        let service = forecast.service_time() + SEND_MARGIN;
        let last_start = (self.elapsed + self.time_left).saturating_sub(service);
        if self.returned {
            return last_start.saturating_sub(self.elapsed);
        }
        let limit = last_start.mul_f64(NEW_WAIT_SHARE);
        let limit = match self.latency_sensitive {
            true => limit.min(self.objective.saturating_sub(forecast.first_event)),
            false => limit,
        };
        limit.saturating_sub(self.elapsed)
    }

    /// Returns the time by which the request must be first in the queue, or else the caller loses
    /// something that it can still have: the objective, and after that the whole response.
    ///
    /// The first request still waits until an engine has room for it, which takes longer for a
    /// large prompt.
    pub fn time_to_loss(&self, forecast: &Forecast) -> Duration {
        let begin = forecast.expected + forecast.first_event;
        let on_time = self.objective.saturating_sub(begin + self.elapsed);
        match self.returned || on_time.is_zero() {
            true => self.time_left.saturating_sub(forecast.expected + forecast.service_time()),
            false => on_time,
        }
    }
}
