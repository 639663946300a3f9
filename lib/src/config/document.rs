//! The schema of the fleet's configuration.

use crate::{
    ids::{ApplicationId, EntryId, ModelId, Revision, TargetId, TeamId, Tokens, ZoneId},
    release::ReleaseNote,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use strum::{Display, EnumString};

/// The whole configuration of one revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of this configuration; a higher one replaces a lower one.
    pub revision: Revision,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Models that targets serve and teams use.
    pub models: Vec<Model>,
    /// Model engines and application workers.
    pub targets: Vec<Target>,
    /// Entries, which share the teams' budgets.
    pub entries: Vec<Entry>,
    /// Teams and what they may use.
    pub teams: Vec<Team>,
    /// Applications and their routes.
    #[serde(default)]
    pub applications: Vec<Application>,
    /// Bounds on callers' requests.
    #[serde(default)]
    pub bounds: Bounds,
    /// How the fleet weighs its aims.
    #[serde(default)]
    pub policy: Policy,
    /// What the fleet is to become.
    #[serde(default)]
    pub release: Option<ReleaseNote>,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone.
    pub id: ZoneId,
    /// Whether targets of the zone take new work.
    #[serde(default = "yes")]
    pub in_service: bool,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub id: ModelId,
    /// Longest prompt and answer together, in tokens.
    pub max_tokens: Tokens,
}

/// What a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// An application worker.
    Application,
}

/// A target and its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target.
    pub id: TargetId,
    /// Zone that the target runs in.
    pub zone: ZoneId,
    /// What the target is.
    pub kind: Kind,
    /// Address at which the agent takes work.
    pub work: SocketAddr,
    /// Address at which the agent takes control messages.
    pub control: SocketAddr,
    /// Models that an engine serves.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Application that a worker serves.
    #[serde(default)]
    pub application: Option<ApplicationId>,
    /// Whether the target leaves and takes no new work.
    #[serde(default)]
    pub departing: bool,
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the entry.
    pub id: EntryId,
    /// Zone that the entry runs in.
    pub zone: ZoneId,
    /// Address at which the entry takes control messages.
    pub control: SocketAddr,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub id: TeamId,
    /// SHA-256 digest of the team's bearer token, in hexadecimal.
    pub token_sha256: String,
    /// Models that the team may use.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Applications that the team may call.
    #[serde(default)]
    pub applications: Vec<ApplicationId>,
    /// Priority at the engines; 0 is served first.
    #[serde(default)]
    pub priority: u8,
    /// Budget of the team in tokens a second over the whole fleet.
    pub tokens_per_second: Tokens,
    /// Tokens that the team may use at once.
    pub burst_tokens: Tokens,
}

/// An application.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Application {
    /// Name of the application.
    pub id: ApplicationId,
    /// Routes of the application; the longest matching prefix decides.
    pub routes: Vec<Route>,
}

/// A route of an application.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path, with a leading slash.
    pub path: String,
    /// Whether a call may run more than once.
    pub repeatable: bool,
}

/// Bounds on callers' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Shortest time limit that a caller may ask for, in milliseconds.
    pub min_deadline_ms: u64,
    /// Time limit of a request that asks for none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Longest time limit that a caller may ask for, in milliseconds.
    pub max_deadline_ms: u64,
    /// Largest body, in bytes.
    pub max_body: usize,
}

impl Bounds {
    /// Returns the time limit of a request that asks for none.
    pub fn default_deadline(&self) -> Duration {
        Duration::from_millis(self.default_deadline_ms)
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            min_deadline_ms: 50,
            default_deadline_ms: 60_000,
            max_deadline_ms: 3_600_000,
            max_body: 8 << 20,
        }
    }
}

/// How the fleet weighs its aims.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Share of prefill that long prompts may hold, from 0 to 1: at each engine the part of the
    /// waiting prefill that prompts over 8,000 tokens may fill, and of the engines of a model the
    /// part that takes prompts over 100,000 tokens. A lower share slows short prompts less and lets
    /// long ones wait longer; one that has waited a quarter of its time limit may use every engine.
    pub long_share: f64,
    /// Share of the prefill rate that is kept free for the loss of a zone, from 0 to 1. While all
    /// zones serve, prompts over 8,000 tokens are admitted only up to the rest of the rate; once a
    /// zone is out or silent, the remaining zones use all of theirs. With a third of three zones
    /// the loss of one needs no further refusals.
    pub zone_reserve: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self { long_share: 0.5, zone_reserve: 0.0 }
    }
}

fn yes() -> bool {
    true
}

impl Fleet {
    /// Returns whether `target` takes new work under this configuration.
    pub fn in_service(&self, target: &Target) -> bool {
        let zone = self.zones.iter().find(|zone| zone.id == target.zone);
        !target.departing && zone.is_some_and(|zone| zone.in_service)
    }

    /// Returns the target named `id`.
    pub fn target(&self, id: &str) -> Option<&Target> {
        self.targets.iter().find(|target| target.id == id)
    }

    /// Returns the application named `id`.
    pub fn application(&self, id: &str) -> Option<&Application> {
        self.applications.iter().find(|application| application.id == id)
    }

    /// Returns the team whose bearer token has the SHA-256 digest `digest`.
    pub fn team(&self, digest: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.token_sha256 == digest)
    }
}

impl Application {
    /// Returns the route with the longest prefix of `path` for `method`.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.method == method && path.starts_with(&route.path))
            .max_by_key(|route| route.path.len())
    }
}
