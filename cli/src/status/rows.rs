//! Rows of the status tables, which are also the JSON output.

use super::state::{AgentState, EntryState, ProcessState, ReceivedReport};
use fulmarhead_lib::{
    admission::Phase,
    control::{Load, Progress, Report},
    ids::{Revision, TargetId},
};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr};

/// Status of all entries and agents that were found.
#[derive(Debug, Default, Serialize)]
pub(super) struct FleetStatus {
    pub(super) entries: Vec<EntryRow>,
    pub(super) agents: BTreeMap<TargetId, AgentRow>,
}

#[derive(Debug, Serialize)]
pub(super) struct EntryRow {
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) zone: String,
    pub(super) revision: Revision,
    pub(super) stopping: bool,
    pub(super) targets: usize,
    pub(super) config_error: Option<String>,
}

/// Status of an agent, from its own state or from the most recent report that an entry received.
#[derive(Debug, Serialize)]
pub(super) struct AgentRow {
    pub(super) revision: Revision,
    pub(super) phase: Phase,
    pub(super) load: Load,
    pub(super) progress: Progress,
    /// Age of the report; 0 if the state was read from the agent itself.
    pub(super) age_ms: u64,
    /// Configuration error; known only if the state was read from the agent itself.
    pub(super) config_error: Option<String>,
}

impl FleetStatus {
    /// Adds the state of one process.
    ///
    /// For a target with several reports, the most recent one is kept.
    pub(super) fn add(&mut self, address: SocketAddr, state: ProcessState) {
        match state {
            ProcessState::Entry(entry) => self.add_entry(address, entry),
            ProcessState::Agent(agent) => self.add_agent(agent),
        }
    }

    fn add_entry(&mut self, address: SocketAddr, entry: EntryState) {
        self.entries.push(EntryRow {
            id: entry.id,
            address,
            zone: entry.zone,
            revision: entry.revision,
            stopping: entry.stopping,
            targets: entry.targets.len(),
            config_error: entry.config_error,
        });
        for ReceivedReport { report, age_ms } in entry.targets {
            let known = self.agents.get(&report.target);
            if known.is_none_or(|known| known.age_ms > age_ms) {
                self.agents.insert(report.target.clone(), agent_row(report, age_ms, None));
            }
        }
    }

    fn add_agent(&mut self, agent: AgentState) {
        self.agents.insert(agent.target, agent_row(agent.report, 0, agent.config_error));
    }
}

fn agent_row(report: Report, age_ms: u64, config_error: Option<String>) -> AgentRow {
    AgentRow {
        revision: report.revision,
        phase: report.phase,
        load: report.load,
        progress: report.progress,
        age_ms,
        config_error,
    }
}
