//! One route.

use crate::ids::{RouteId, ServiceId};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// What may be done with a request after it was sent to a target once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Repeat {
    /// It runs at most once.
    Never,
    /// It may run any number of times.
    Always,
    /// Its stream may go on at another target after the last event that was received.
    Resume,
}

impl Repeat {
    /// Returns whether the request may run more than once.
    pub fn allowed(self) -> bool {
        self != Self::Never
    }
}

/// A route: which requests it takes, where they go and what the operator promises for them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Host name that requests carry.
    pub host: String,
    /// Beginning of their path; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run again.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that earns full credit.
    pub objective: Duration,
    /// Longest pause between two events of a stream that earns full credit.
    pub gap: Option<Duration>,
    /// Rank of the route, 0 is the most urgent.
    pub rank: u8,
    /// Services with their weights, which are above 0.
    pub services: Vec<(ServiceId, u32)>,
    /// Most targets that one request is sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl Route {
    /// Returns the service that `draw`, from 0 to below 1, selects by weight.
    pub fn service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.services.last().map(|(service, _)| service)
    }
}
