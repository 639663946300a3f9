//! Derivation of the phase of a target from the state of its agent and the configuration.

use super::controller::Phase;
use crate::config::Fleet;
use std::time::Duration;

/// Age of the last check of the target above which the state of an agent is considered stale.
pub const TARGET_CHECK_TTL: Duration = Duration::from_secs(2);

/// State of an agent and its target from which the [`Phase`] is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AgentStatus {
    /// Whether the agent process is shutting down.
    pub stopping: bool,
    /// Whether the state of the target has been read since the agent started and since the last
    /// long pause of the agent.
    pub target_read: bool,
    /// Time since the agent last checked its target; large after a pause of the process.
    pub check_age: Duration,
    /// Whether the process was paused and has not compared configurations with a peer since.
    pub unsynced: bool,
    /// Whether the target is being changed to match a release note.
    pub changing: bool,
}

impl Phase {
    /// Derives the phase of `target` from the state of its agent and the active configuration.
    ///
    /// A target that is missing from `fleet` is out of service.
    pub fn from_status(status: AgentStatus, fleet: Option<&Fleet>, target: &str) -> Self {
        if status.stopping {
            return Self::Draining;
        }
        // After its start and after a long pause, the agent does not know the current state
        // until it has read it.
        if !status.target_read || status.unsynced || status.check_age > TARGET_CHECK_TTL {
            return Self::Starting;
        }
        let Some(fleet) = fleet else { return Self::Starting };
        let in_service = fleet.target(target).is_some_and(|target| fleet.in_service(target));
        match (in_service, status.changing) {
            (false, _) => Self::OutOfService,
            (true, true) => Self::Draining,
            (true, false) => Self::Serving,
        }
    }
}
