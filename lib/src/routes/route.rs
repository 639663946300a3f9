//! Routes of requests to services.

use crate::ids::{RouteId, ServiceId};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Policy for a request that was sent to a target and may have run there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RetryPolicy {
    /// The request runs at most once.
    Never,
    /// The request is idempotent and may run any number of times.
    Always,
    /// The stream may be resumed at another target after the last event that was received.
    Resume,
}

impl RetryPolicy {
    /// Returns whether the request may be sent again after it may have run.
    pub fn allows_retry(self) -> bool {
        self != Self::Never
    }
}

/// A route, which maps requests of a host and path prefix to services, with their limits and
/// latency objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route in the configuration.
    pub id: RouteId,
    /// Host name that requests are sent to.
    pub host: String,
    /// Path prefix of requests, which begins and ends with a slash.
    pub prefix: String,
    /// Whether a request that may have run is sent again.
    pub retry_policy: RetryPolicy,
    /// Whether responses are streams of events.
    pub streaming: bool,
    /// Upper bound of the time until the response is complete.
    pub timeout: Duration,
    /// Latency objective: longest acceptable time to the response, or to the first event of a
    /// stream.
    pub objective: Duration,
    /// Longest acceptable gap between two events of a stream.
    pub max_gap: Option<Duration>,
    /// Priority of the route, where 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests, with positive weights.
    pub services: Vec<(ServiceId, u32)>,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests without an API key are allowed.
    pub anonymous: bool,
}

impl Route {
    /// Returns a service selected by weight with `draw`, a random number in `0.0..1.0`.
    ///
    /// Returns `None` only if the route has no services.
    pub fn select_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * f64::from(total);
        for (service, weight) in &self.services {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(service);
            }
        }
        self.services.last().map(|(service, _)| service)
    }
}
