//! Composition of a local fleet and its configuration document.

use fulmarhead_lib::{
    config::{
        Application, Bounds, Entry, Fleet, Model, Policy, Route, Target, TargetKind, Team, Zone,
    },
    digest::sha256_hex,
    ids::{ApplicationId, ModelId, Revision, ZoneId},
    routing::{AffinityKind, PolicyKind},
};
use standins::{application::ApplicationSettings, engine::EngineSettings};
use std::net::SocketAddr;

/// Bearer token of the first team.
pub const TOKEN: &str = "local-token";

/// Composition of a local fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Zones, over which engines, workers and entries are spread in turn; not empty.
    pub zones: Vec<ZoneId>,
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of application workers.
    pub workers: usize,
    /// Model that all engines serve.
    pub model: ModelId,
    /// Application that all workers serve.
    pub application: ApplicationId,
    /// Settings of each engine stand-in.
    pub engine: EngineSettings,
    /// Settings of each worker stand-in.
    pub worker: ApplicationSettings,
    /// Number of teams.
    pub teams: usize,
    /// Routing policy of the entries.
    pub policy: PolicyKind,
    /// How the entries expect targets to keep prefixes.
    pub affinity: AffinityKind,
    /// Policy section of the configuration document.
    pub policy_section: Policy,
    /// Port of the configuration service, or 0 for any free port.
    pub service_port: u16,
    /// Addresses of an agent that runs as a separate process and whose engine is added to the
    /// configuration.
    pub extra_agent: Option<AgentAddresses>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            zones: ["za-south-a", "za-south-b", "za-south-c"].map(ToOwned::to_owned).to_vec(),
            entries: 2,
            engines: 6,
            workers: 3,
            model: "assistant".to_owned(),
            application: "yard-desk".to_owned(),
            engine: EngineSettings::default(),
            worker: ApplicationSettings::default(),
            teams: 1,
            policy: PolicyKind::default(),
            affinity: AffinityKind::default(),
            policy_section: Policy::default(),
            service_port: 0,
            extra_agent: None,
        }
    }
}

/// Addresses at which an agent listens for entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentAddresses {
    /// Address for requests of callers.
    pub work: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
}

impl Plan {
    /// Returns the zone of the target or entry with the given index.
    pub(crate) fn zone(&self, index: usize) -> ZoneId {
        self.zones[index % self.zones.len()].clone()
    }

    /// Returns the configuration document of the first revision.
    pub(crate) fn document(
        &self,
        engines: &[AgentAddresses],
        workers: &[AgentAddresses],
        entries: &[SocketAddr],
    ) -> Fleet {
        let engines = engines.iter().chain(&self.extra_agent).enumerate();
        let engines = engines.map(|(index, addresses)| self.engine(index, *addresses));
        let workers =
            workers.iter().enumerate().map(|(index, addresses)| self.worker(index, *addresses));
        Fleet {
            revision: FIRST_REVISION,
            zones: self.zones.iter().map(zone).collect(),
            models: vec![Model { id: self.model.clone(), max_tokens: 1_100_000 }],
            targets: engines.chain(workers).collect(),
            entries: entries
                .iter()
                .enumerate()
                .map(|(index, &control)| self.entry(index, control))
                .collect(),
            teams: (0..self.teams).map(|index| self.team(index)).collect(),
            applications: vec![self.application()],
            bounds: Bounds::default(),
            policy: self.policy_section.clone(),
            release: None,
        }
    }

    fn engine(&self, index: usize, addresses: AgentAddresses) -> Target {
        Target {
            id: engine_id(index),
            zone: self.zone(index),
            kind: TargetKind::Engine,
            work: addresses.work,
            control: addresses.control,
            models: vec![self.model.clone()],
            application: None,
            departing: false,
        }
    }

    fn worker(&self, index: usize, addresses: AgentAddresses) -> Target {
        Target {
            id: worker_id(index),
            zone: self.zone(index),
            kind: TargetKind::Application,
            work: addresses.work,
            control: addresses.control,
            models: Vec::new(),
            application: Some(self.application.clone()),
            departing: false,
        }
    }

    fn entry(&self, index: usize, control: SocketAddr) -> Entry {
        Entry { id: entry_id(index), zone: self.zone(index), control }
    }

    fn team(&self, index: usize) -> Team {
        Team {
            id: format!("team-{}", index + 1),
            token_sha256: sha256_hex(team_token(index).as_bytes()),
            models: vec![self.model.clone()],
            applications: vec![self.application.clone()],
            priority: 0,
            tokens_per_second: 4_000_000,
            burst_tokens: 16_000_000,
        }
    }

    fn application(&self) -> Application {
        let route = |method: &str, path: &str, repeatable| Route {
            method: method.to_owned(),
            path: path.to_owned(),
            repeatable,
        };
        Application {
            id: self.application.clone(),
            routes: vec![route("GET", "/stock", true), route("POST", "/orders", false)],
        }
    }
}

/// Revision of the document that a local fleet starts with.
const FIRST_REVISION: Revision = 1;

/// Returns the bearer token of the team with the given index; that of index 0 is [`TOKEN`].
pub fn team_token(index: usize) -> String {
    match index {
        0 => TOKEN.to_owned(),
        _ => format!("{TOKEN}-{}", index + 1),
    }
}

/// Returns the target id of the engine with the given index.
pub(crate) fn engine_id(index: usize) -> String {
    format!("engine-{}", index + 1)
}

/// Returns the target id of the worker with the given index.
pub(crate) fn worker_id(index: usize) -> String {
    format!("worker-{}", index + 1)
}

/// Returns the id of the entry with the given index.
pub(crate) fn entry_id(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn zone(id: &ZoneId) -> Zone {
    Zone { id: id.clone(), in_service: true }
}
