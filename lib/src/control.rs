//! Control messages that entries and agents exchange.
//!
//! They are encoded by position, so their fields and variants must keep their order.

use crate::{
    admission::Phase,
    config::Bundle,
    ids::{ApplicationId, Incarnation, ModelId, RequestId, Revision, TargetId, Tokens},
    lease::Grant,
    outcome::Refusal,
    release::Stage,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies a configuration by its revision and the digest of its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Revision of the configuration, or 0 if there is none.
    pub revision: Revision,
    /// First eight bytes of the SHA-256 digest of the document.
    pub digest: u64,
}

/// Reply to a process that sent the version of its configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// Both processes have the same configuration.
    Current,
    /// The replying process has this newer configuration.
    Newer(Bundle),
    /// The replying process has this older revision and requests the newer configuration.
    Behind(Revision),
    /// The replying process has the same revision with different content.
    Conflict(ConfigVersion),
}

/// Reply of an agent or entry to a process that sent the version of its configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Result of comparing the configurations.
    pub sync: SyncReply,
    /// State of the agent; `None` in replies of an entry.
    pub report: Option<Report>,
}

/// State of an agent and its target, which entries use for routing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Target that the agent manages.
    pub target: TargetId,
    /// Incarnation of the agent, which changes with each restart.
    pub incarnation: Incarnation,
    /// Revision of the active configuration of the agent.
    pub revision: Revision,
    /// Phase of the agent; the target takes new work only while it is serving.
    pub phase: Phase,
    /// Models that the target currently serves.
    pub models: Vec<ModelId>,
    /// Application that the target serves; `None` for an engine.
    pub application: Option<ApplicationId>,
    /// Current load of the target.
    pub load: Load,
    /// Progress of the target in the current release.
    pub progress: Progress,
}

/// Load of a target, as its agent observes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of admitted requests that have not ended.
    pub running: u32,
    /// Current maximum number of concurrent requests.
    pub cap: u32,
    /// Tokens of admitted prompts whose prefill is not complete.
    pub prefill: Tokens,
    /// Part of `prefill` from prompts of more than 8,000 and at most 100,000 tokens.
    #[serde(default)]
    pub medium_prefill: Tokens,
    /// Part of `prefill` from prompts of more than 100,000 tokens.
    #[serde(default)]
    pub long_prefill: Tokens,
    /// Used or leased KV cache, in tokens.
    pub kv_used: Tokens,
    /// Total KV cache of the engine, in tokens.
    pub kv_total: Tokens,
    /// Observed prefill rate, in tokens per second.
    pub prefill_rate: Tokens,
}

/// Progress of a target in a release.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Number of the release note that the agent applies, or 0 if there is none.
    pub note: u64,
    /// Whether the target is in the state that the release note requires.
    pub done: bool,
    /// Whether the target accepts new work.
    pub serving: bool,
    /// Stage of the change of the target.
    pub stage: Stage,
}

/// Requests a lease on engine memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Request that needs the memory.
    pub request: RequestId,
    /// KV cache to reserve, in tokens.
    pub tokens: Tokens,
    /// Remaining time limit of the request.
    pub remaining: Duration,
}

/// Reply to a [`LeaseRequest`].
pub type LeaseReply = Result<Grant, Refusal>;
