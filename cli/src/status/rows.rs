//! The rows of the status table.

use super::state::{AgentState, EntryState, Held, State};
use fulmarhead_lib::{
    admission::Phase,
    control::{Load, Progress, Report},
    ids::{Revision, TargetId},
};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr};

/// The state of all processes.
#[derive(Debug, Default, Serialize)]
pub(super) struct Fleet {
    pub(super) entries: Vec<EntryRow>,
    pub(super) agents: BTreeMap<TargetId, AgentRow>,
}

/// An entry.
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

/// An agent, from its own state or from the youngest report that an entry holds.
#[derive(Debug, Serialize)]
pub(super) struct AgentRow {
    pub(super) revision: Revision,
    pub(super) phase: Phase,
    pub(super) load: Load,
    pub(super) progress: Progress,
    /// Age of the report, 0 if the agent itself was asked.
    pub(super) age_ms: u64,
    /// Configuration error; known only if the agent itself was asked.
    pub(super) config_error: Option<String>,
}

impl Fleet {
    /// Adds the state of one process.
    pub(super) fn add(&mut self, address: SocketAddr, state: State) {
        match state {
            State::Entry(entry) => self.add_entry(address, entry),
            State::Agent(agent) => self.add_agent(agent),
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
        for Held { report, age_ms } in entry.targets {
            let known = self.agents.get(&report.target);
            if known.is_none_or(|known| known.age_ms > age_ms) {
                self.agents.insert(report.target.clone(), row(report, age_ms, None));
            }
        }
    }

    fn add_agent(&mut self, agent: AgentState) {
        self.agents.insert(agent.target, row(agent.report, 0, agent.config_error));
    }
}

fn row(report: Report, age_ms: u64, config_error: Option<String>) -> AgentRow {
    AgentRow {
        revision: report.revision,
        phase: report.phase,
        load: report.load,
        progress: report.progress,
        age_ms,
        config_error,
    }
}
