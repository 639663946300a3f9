//! Processes of the configuration model; they run the production decision code.

use super::documents::TARGET_ID;
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

/// Active configuration of a process; compared by its document and its last error.
#[derive(Clone, Debug, Default)]
pub struct ProcessConfig(pub(super) ActiveConfig);

impl ProcessConfig {
    /// Returns the active document, if any.
    pub(super) fn bundle(&self) -> Option<Bundle> {
        self.0.bundle()
    }

    /// Returns whether the active document takes the agent's target out of service.
    pub(super) fn is_out_of_service(&self) -> bool {
        self.0.fleet().is_some_and(|fleet| {
            fleet.target(TARGET_ID).is_some_and(|target| !fleet.in_service(target))
        })
    }
}

impl PartialEq for ProcessConfig {
    fn eq(&self, other: &Self) -> bool {
        self.bundle() == other.bundle() && self.0.last_error() == other.0.last_error()
    }
}

impl Eq for ProcessConfig {}

impl Hash for ProcessConfig {
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
    /// Whether a long pause followed the monitor's last run, so that its next run detects it.
    pub(super) pause_undetected: bool,
    /// Whether a long pause was detected while a configuration was active, and no valid document
    /// has reached the agent since.
    pub(super) awaits_config: bool,
    /// Whether the agent was serving when it last read its target.
    pub(super) was_serving: bool,
}

impl Agent {
    /// Returns an agent that has just started.
    pub(super) fn start() -> Self {
        Self {
            target_read: false,
            pause_undetected: false,
            awaits_config: false,
            was_serving: false,
        }
    }

    /// Returns the phase, which the agent determines anew for each unit of work.
    pub(super) fn phase(self, config: &ProcessConfig) -> Phase {
        // Any time above `STALE_AFTER` has the same effect.
        let time_since_check =
            if self.pause_undetected { TARGET_CHECK_TTL * 2 } else { Duration::ZERO };
        // A stopping agent or an order that changes the target only adds phases that admit no work,
        // so neither is modelled.
        let status = AgentStatus {
            stopping: false,
            target_read: self.target_read,
            check_age: time_since_check,
            unsynced: self.awaits_config,
            changing: false,
        };
        Phase::from_status(status, config.0.fleet().as_deref(), TARGET_ID)
    }

    /// Runs the monitor once, which detects a preceding long pause.
    pub(super) fn run_monitor(&mut self, config: &ProcessConfig) {
        self.target_read &= !self.pause_undetected;
        self.awaits_config |= self.pause_undetected && config.0.revision() > 0;
        self.pause_undetected = false;
    }

    /// Records a reading of the target and whether the agent serves after it.
    pub(super) fn read_target(&mut self, config: &ProcessConfig) {
        self.target_read = true;
        self.was_serving = self.phase(config) == Phase::Serving;
    }
}

/// Returns whether the production admission code admits work in `phase`.
pub(super) fn admits(clock: &StepClock, phase: Phase) -> bool {
    // The work costs nothing and memory is unlimited, so only the phase can cause a refusal.
    let mut admission = AdmissionController::new(AdmissionSettings::default(), clock.now(0));
    admission.set_phase(phase);
    let request = RequestId::from_u128(1);
    let (cost, remaining) = (Cost::default(), clock.step_duration());
    let work = Work { request, cost, remaining, aged: false, leased: false };
    let capacity = TargetCapacity { unleased: Tokens::MAX, total: 0, rate: 0 };
    admission.admit(work, 1, capacity, clock.now(0)).is_ok()
}

/// Whether the agent's last reading of its target is recent, as an outside observer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum TargetFreshness {
    /// The target was read after the last long pause.
    Current,
    /// The agent has resumed after a long pause, and its monitor has not run since. A reading that
    /// ends now began before the pause.
    PauseUndetected,
    /// The agent has started, or its monitor has run since the pause, and the target has not been
    /// read since. The next reading is recent.
    AwaitingRead,
}
