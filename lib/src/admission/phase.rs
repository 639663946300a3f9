//! Decision whether a target takes new work.

use super::controller::Phase;
use crate::config::Fleet;
use std::time::Duration;

/// Time without a look at the target after which what an agent believes may be too old.
pub const STALE_AFTER: Duration = Duration::from_secs(2);

/// What an agent knows of itself and its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Standing {
    /// Whether the process ends.
    pub stopping: bool,
    /// Whether the target was read since the start of the agent or its last long pause.
    pub seen: bool,
    /// Time since the agent last looked at its target; long after a pause of the process.
    pub silent: Duration,
    /// Whether the process was paused and no peer has compared configurations since.
    pub unsynced: bool,
    /// Whether the target changes to what a release note asks for.
    pub changing: bool,
}

impl Phase {
    /// Decides whether `target` takes new work under the configuration in force.
    pub fn of(standing: Standing, fleet: Option<&Fleet>, target: &str) -> Self {
        if standing.stopping {
            return Self::Draining;
        }
        // After a long pause nothing that the agent believes is current until it was refreshed.
        if !standing.seen || standing.unsynced || standing.silent > STALE_AFTER {
            return Self::Starting;
        }
        let Some(fleet) = fleet else { return Self::Starting };
        let serves = fleet.target(target).is_some_and(|target| fleet.in_service(target));
        match (serves, standing.changing) {
            (false, _) => Self::OutOfService,
            (true, true) => Self::Draining,
            (true, false) => Self::Serving,
        }
    }
}
