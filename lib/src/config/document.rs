//! Types of the configuration document of a fleet.

use crate::{
    ids::{ApplicationId, EntryId, ModelId, Revision, TargetId, TeamId, Tokens, ZoneId},
    release::ReleaseNote,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use strum::{Display, EnumString};

/// The complete configuration of a fleet at one revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Revision of this configuration; processes replace a lower revision by a higher one.
    pub revision: Revision,
    /// Availability zones in which targets and entries run.
    pub zones: Vec<Zone>,
    /// Models that targets serve and teams use.
    pub models: Vec<Model>,
    /// Model engines and application workers.
    pub targets: Vec<Target>,
    /// Entries, which divide the budgets of the teams among themselves.
    pub entries: Vec<Entry>,
    /// Teams, with the models and applications that they may use.
    pub teams: Vec<Team>,
    /// Applications and their routes.
    #[serde(default)]
    pub applications: Vec<Application>,
    /// Limits for the requests of callers.
    #[serde(default)]
    pub bounds: Bounds,
    /// Trade-offs between short prompts, long prompts, and spare capacity.
    #[serde(default)]
    pub policy: Policy,
    /// Release that agents roll out, if there is one.
    #[serde(default)]
    pub release: Option<ReleaseNote>,
}

/// An availability zone, which operators can take out of service as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone, unique in the document.
    pub id: ZoneId,
    /// Whether targets of the zone take new work.
    #[serde(default = "yes")]
    pub in_service: bool,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model, unique in the document.
    pub id: ModelId,
    /// Maximum length of prompt and answer together, in tokens.
    pub max_tokens: Tokens,
}

/// Kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TargetKind {
    /// An engine that serves models.
    Engine,
    /// A worker that serves one application.
    Application,
}

/// A target, with the addresses of its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target, unique in the document.
    pub id: TargetId,
    /// Zone in which the target runs.
    pub zone: ZoneId,
    /// Whether the target is an engine or an application worker.
    pub kind: TargetKind,
    /// Address at which the agent accepts requests.
    pub work: SocketAddr,
    /// Address at which the agent accepts control messages.
    pub control: SocketAddr,
    /// Models that an engine serves; empty for an application worker.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Application that a worker serves; `None` for an engine.
    #[serde(default)]
    pub application: Option<ApplicationId>,
    /// Whether the target is being removed and takes no new work.
    #[serde(default)]
    pub departing: bool,
}

/// An entry, which accepts requests of callers and routes them to targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the entry, unique in the document.
    pub id: EntryId,
    /// Zone in which the entry runs.
    pub zone: ZoneId,
    /// Address at which the entry accepts control messages.
    pub control: SocketAddr,
}

/// A team of callers, with its permissions and budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team, unique in the document.
    pub id: TeamId,
    /// SHA-256 digest of the team's bearer token, as 64 lowercase hexadecimal digits.
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
    /// Budget of the team for the whole fleet, in tokens per second.
    pub tokens_per_second: Tokens,
    /// Maximum burst of the team, in tokens.
    pub burst_tokens: Tokens,
}

/// An application that workers serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Application {
    /// Name of the application, unique in the document.
    pub id: ApplicationId,
    /// Routes of the application; the one with the longest matching path prefix applies.
    pub routes: Vec<Route>,
}

/// A route of an application, selected by method and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path, with a leading slash.
    pub path: String,
    /// Whether a call may safely run more than once.
    pub repeatable: bool,
}

/// Limits for the requests of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Minimum time limit that a caller may request, in milliseconds.
    pub min_deadline_ms: u64,
    /// Time limit of a request that specifies none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Maximum time limit that a caller may request, in milliseconds.
    pub max_deadline_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
}

impl Bounds {
    /// Returns the time limit of a request that specifies none.
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

/// Trade-offs between short prompts, long prompts, and spare capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Share of the prefill capacity that long prompts may use, from 0 to 1.
    ///
    /// This is the fraction of the waiting prefill at each engine that prompts over 8,000 tokens
    /// may take up, and the fraction of the engines of a model that accept prompts over 100,000
    /// tokens. A lower share delays short prompts less and long prompts more. A prompt that has
    /// waited for a quarter of its time limit may use every engine.
    pub long_share: f64,
    /// Share of the prefill rate that is reserved for the loss of a zone, from 0 to 1.
    ///
    /// While all zones serve, prompts over 8,000 tokens are admitted only up to the unreserved
    /// rate. While a zone is out of service or does not report, the remaining zones use their full
    /// rate. With three zones and a reserve of one third, the loss of a zone causes no additional
    /// refusals.
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
    /// Returns whether `target` may take new work: it is not departing and its zone is in service.
    pub fn in_service(&self, target: &Target) -> bool {
        let zone = self.zones.iter().find(|zone| zone.id == target.zone);
        !target.departing && zone.is_some_and(|zone| zone.in_service)
    }

    /// Returns the target named `id`, if the document contains it.
    pub fn target(&self, id: &str) -> Option<&Target> {
        self.targets.iter().find(|target| target.id == id)
    }

    /// Returns the application named `id`, if the document contains it.
    pub fn application(&self, id: &str) -> Option<&Application> {
        self.applications.iter().find(|application| application.id == id)
    }

    /// Returns the team whose bearer token has the SHA-256 digest `digest`.
    ///
    /// The digest is in lowercase hexadecimal.
    pub fn team(&self, digest: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.token_sha256 == digest)
    }
}

impl Application {
    /// Returns the route for `method` whose path is the longest prefix of `path`.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.method == method && path.starts_with(&route.path))
            .max_by_key(|route| route.path.len())
    }
}
