//! Processes of the configuration model; they run the production decision code.

use super::documents::TARGET;
use crate::clock::StepClock;
use fulmarhead_lib::{
    admission::{
        AdmissionController, AdmissionSettings, AgentStatus, Phase, TARGET_CHECK_TTL,
        TargetCapacity, Work,
    },
    config::{ActiveConfig, Bundle},
    cost::Cost,
    ids::{RequestId, Tokens},
};
use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

/// Configuration in force at a process; compared by its document and its last error.
#[derive(Clone, Debug, Default)]
pub struct View(pub(super) ActiveConfig);

impl View {
    /// Returns the document in force, if any.
    pub(super) fn bundle(&self) -> Option<Bundle> {
        self.0.bundle()
    }

    /// Returns whether the document in force takes the agent's target out of service.
    pub(super) fn is_out_of_service(&self) -> bool {
        self.0.fleet().is_some_and(|fleet| {
            fleet.target(TARGET).is_some_and(|target| !fleet.in_service(target))
        })
    }
}

impl PartialEq for View {
    fn eq(&self, other: &Self) -> bool {
        self.bundle() == other.bundle() && self.0.last_error() == other.0.last_error()
    }
}

impl Eq for View {}

impl Hash for View {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.bundle().map(|bundle| (bundle.revision, bundle.text)).hash(hasher);
        self.0.last_error().is_some().hash(hasher);
    }
}

/// State of the agent besides its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Agent {
    /// Whether the target was read since the agent started or last detected a long pause.
    pub(super) target_read: bool,
    /// Whether a long pause followed the monitor's last tick, so that its next tick detects it.
    pub(super) paused: bool,
    /// Whether a pause was detected and no document has reached the agent since.
    pub(super) unsynced: bool,
    /// Whether the agent was serving when it last read its target.
    pub(super) was_serving: bool,
}

impl Agent {
    /// Returns an agent that has just started.
    pub(super) fn start() -> Self {
        Self { target_read: false, paused: false, unsynced: false, was_serving: false }
    }

    /// Returns the phase, which the agent determines anew for each unit of work.
    pub(super) fn phase(self, view: &View) -> Phase {
        let silent = if self.paused { TARGET_CHECK_TTL * 2 } else { Duration::ZERO };
        // A change of the target only adds phases that admit no work, so it is not modelled.
        let status = AgentStatus {
            stopping: false,
            target_read: self.target_read,
            check_age: silent,
            unsynced: self.unsynced,
            changing: false,
        };
        Phase::from_status(status, view.0.fleet().as_deref(), TARGET)
    }

    /// Handles a tick of the monitor, which detects a preceding long pause.
    pub(super) fn tick(&mut self, view: &View) {
        self.target_read &= !self.paused;
        self.unsynced |= self.paused && view.0.revision() > 0;
        self.paused = false;
    }

    /// Records a reading of the target and whether the agent serves after it.
    pub(super) fn read(&mut self, view: &View) {
        self.target_read = true;
        self.was_serving = self.phase(view) == Phase::Serving;
    }
}

/// Returns whether the production admission code admits work in `phase`.
pub(super) fn admits(clock: &StepClock, phase: Phase) -> bool {
    let mut admission = AdmissionController::new(AdmissionSettings::default(), clock.now(0));
    admission.set_phase(phase);
    let request = RequestId::from_u128(1);
    let (cost, remaining) = (Cost::default(), clock.step_duration());
    let work = Work { request, cost, remaining, aged: false, leased: false };
    let capacity = TargetCapacity { unleased: Tokens::MAX, total: 0, rate: 0 };
    admission.admit(work, 1, capacity, clock.now(0)).is_ok()
}

/// Age of the agent's last reading of its target, as an outside observer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum TargetFreshness {
    /// The target was read after the last long pause.
    Current,
    /// The process has resumed after a long pause. A reading that ends now began before the pause.
    Resumed,
    /// The monitor has ticked since, so the next reading begins after the pause.
    Ticked,
}
