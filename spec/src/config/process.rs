//! Processes of the model of configuration; they decide with the real code.

use super::documents::TARGET;
use crate::clock::Times;
use fulmarhead_lib::{
    admission::{
        AdmissionController, AdmissionSettings, AgentStatus, Phase, STALE_AFTER, TargetCapacity,
        Work,
    },
    config::{ActiveConfig, Bundle},
    cost::Cost,
    ids::{RequestId, Tokens},
};
use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

/// The configuration in force at a process; compared by its document and its error.
#[derive(Clone, Debug, Default)]
pub struct View(pub(super) ActiveConfig);

impl View {
    /// Returns the document in force.
    pub(super) fn bundle(&self) -> Option<Bundle> {
        self.0.bundle()
    }

    /// Returns whether the document in force takes the agent's target out of service.
    pub(super) fn is_out(&self) -> bool {
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

/// What the agent knows beside its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Agent {
    /// Whether the target was read since the start or the last long pause that was noticed.
    pub(super) seen: bool,
    /// Whether the monitor's last tick was before a long pause.
    pub(super) silent: bool,
    /// Whether a pause was noticed and no document has reached the agent since.
    pub(super) unsynced: bool,
    /// Whether the target took work when the agent last read it.
    pub(super) served: bool,
}

impl Agent {
    /// Returns an agent that starts.
    pub(super) fn start() -> Self {
        Self { seen: false, silent: false, unsynced: false, served: false }
    }

    /// Returns the phase as the agent decides it for each piece of work.
    pub(super) fn phase(self, view: &View) -> Phase {
        let silent = if self.silent { STALE_AFTER * 2 } else { Duration::ZERO };
        // Changing the target only adds phases without new work.
        let status = AgentStatus {
            stopping: false,
            target_read: self.seen,
            check_age: silent,
            unsynced: self.unsynced,
            changing: false,
        };
        Phase::from_status(status, view.0.fleet().as_deref(), TARGET)
    }

    /// Records a tick of the monitor, which notices a long pause.
    pub(super) fn tick(&mut self, view: &View) {
        self.seen &= !self.silent;
        self.unsynced |= self.silent && view.0.revision() > 0;
        self.silent = false;
    }

    /// Records that the target was read.
    pub(super) fn read(&mut self, view: &View) {
        self.seen = true;
        self.served = self.phase(view) == Phase::Serving;
    }
}

/// Returns whether work is admitted in a phase.
pub(super) fn admits(times: &Times, phase: Phase) -> bool {
    let mut admission = AdmissionController::new(AdmissionSettings::default(), times.now(0));
    admission.set_phase(phase);
    let request = RequestId::from_u128(1);
    let (cost, remaining) = (Cost::default(), times.step());
    let work = Work { request, cost, remaining, aged: false, leased: false };
    let room = TargetCapacity { unleased: Tokens::MAX, total: 0, rate: 0 };
    admission.admit(work, 1, room, times.now(0)).is_ok()
}

/// What an observer knows of the agent's last look at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Freshness {
    /// The target was read after the last long pause.
    Current,
    /// The process has woken. A reading that ends now was begun before the pause.
    Woken,
    /// The monitor has ticked, so that the next reading is a new one.
    Ticked,
}
