//! The parts of state dumps that the command `status` shows.

use fulmarhead_lib::{
    control::Report,
    ids::{EntryId, Revision, TargetId, ZoneId},
};
use serde::Deserialize;

/// State dump of a process, distinguished by its field `process`.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "process", rename_all = "snake_case")]
pub(super) enum ProcessState {
    Entry(EntryState),
    Agent(AgentState),
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct EntryState {
    pub(super) id: EntryId,
    pub(super) zone: ZoneId,
    pub(super) revision: Revision,
    pub(super) config_error: Option<String>,
    pub(super) stopping: bool,
    pub(super) targets: Vec<ReceivedReport>,
}

/// Latest report of a target that an entry received.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ReceivedReport {
    pub(super) report: Report,
    pub(super) age_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct AgentState {
    pub(super) target: TargetId,
    pub(super) config_error: Option<String>,
    pub(super) report: Report,
}
