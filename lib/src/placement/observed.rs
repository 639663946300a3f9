//! Load that a target reports about itself in its responses.
//!
//! An entry that does not know what its peers have in flight, because it has just started or its
//! peers are silent, uses these figures in place of the missing reports. They count all requests
//! at the target, also those of entries that have ended, but not their sizes.

use super::{Pool, TargetLoad, target::Target};
use std::time::{Duration, Instant};

/// Maximum age of an observed load. Within a second a good part of the short requests at a target
/// end, and those that other entries send in the meantime are not in the figures.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Largest number of slots, or of waiting requests, that is taken for true; far above what an
/// engine can hold.
const MAX_COUNT: u32 = 65_536;

/// Number of requests at a target, as the target reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedLoad {
    /// Requests that the target processes, at most `slots`.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that the target can process at once, at least 1.
    pub slots: u32,
}

/// The reason why a reported load can't be true.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ObservedLoadError {
    /// The target has no slots, or more than any engine.
    #[error("{0} slots are out of range")]
    Slots(u32),
    /// More requests run than the target has slots.
    #[error("{running} requests run in {slots} slots")]
    Running {
        /// Requests that run.
        running: u32,
        /// Slots of the target.
        slots: u32,
    },
    /// More requests wait than any engine holds.
    #[error("{0} waiting requests are out of range")]
    Waiting(u32),
}

impl ObservedLoad {
    /// Returns the load of a target that reports these numbers of requests and slots.
    ///
    /// # Errors
    ///
    /// Returns an error if the numbers contradict each other or are out of range.
    pub fn new(running: u32, waiting: u32, slots: u32) -> Result<Self, ObservedLoadError> {
        if slots == 0 || slots > MAX_COUNT {
            return Err(ObservedLoadError::Slots(slots));
        }
        if running > slots {
            return Err(ObservedLoadError::Running { running, slots });
        }
        if waiting > MAX_COUNT {
            return Err(ObservedLoadError::Waiting(waiting));
        }
        Ok(Self { running, waiting, slots })
    }
}

/// The last load that a target reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Observation {
    received_at: Instant,
    /// Running and waiting requests of other entries.
    requests: u32,
    /// Requests of other entries that run.
    running: u32,
}

impl Observation {
    /// Returns the part of `observed` that the `own` requests of this entry do not explain.
    fn new(observed: ObservedLoad, own: u32, now: Instant) -> Self {
        let requests = (observed.running + observed.waiting).saturating_sub(own);
        Self { received_at: now, requests, running: requests.min(observed.running) }
    }

    /// Raises the `reported` load of other entries to the observed one if that is recent.
    ///
    /// The additional requests count as latency-sensitive and decoding, since most requests are and
    /// a prefill beside them would delay them.
    fn raise(&self, mut reported: TargetLoad, now: Instant) -> TargetLoad {
        if now.saturating_duration_since(self.received_at) > MAX_AGE {
            return reported;
        }
        let unreported = self.requests.saturating_sub(reported.requests);
        reported.requests += unreported;
        reported.decoding += unreported.min(self.running);
        reported.latency_sensitive += unreported;
        reported
    }
}

impl Pool {
    /// Records the load that `target` reported in a response that arrived at `now`.
    ///
    /// The requests of this entry are subtracted, so that those which it sends or ends later
    /// correct the figure, and a target that reports too little has at least these.
    pub fn record_observed_load(&mut self, target: &str, observed: ObservedLoad, now: Instant) {
        if let Some(target) = self.targets.get_mut(target) {
            let own = target.in_flight.total_load(now).requests;
            target.observation = Some(Observation::new(observed, own, now));
        }
    }

    /// Returns whether the reports of peers cover the loads of the other entries at `now`: they
    /// have arrived for a few exchanges and go on.
    pub fn knows_loads(&self, now: Instant) -> bool {
        self.reports.are_settled(now)
    }

    /// Returns the load that other entries cause at a target.
    pub(super) fn load_of_others(&self, id: &str, target: &Target, now: Instant) -> TargetLoad {
        let reported = self.reports.total(id);
        match &target.observation {
            Some(observation) if !self.knows_loads(now) => observation.raise(reported, now),
            _ => reported,
        }
    }
}
