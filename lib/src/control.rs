//! Messages that the system's processes exchange for control.

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

/// Names a configuration: the revision and the digest of its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Revision, 0 if there is no configuration.
    pub revision: Revision,
    /// First eight bytes of the SHA-256 digest of the document.
    pub digest: u64,
}

/// Answer to a process that gave the stamp of its configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// Both processes have the same configuration.
    Current,
    /// The asked process has this newer configuration.
    Newer(Bundle),
    /// The asked process has this older revision and wants the newer one.
    Behind(Revision),
    /// The asked process has the same revision with other content.
    Conflict(Stamp),
}

/// Answer of an agent to an entry that gave its stamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// How the configurations compare.
    pub sync: SyncReply,
    /// State of the agent; `None` from an entry.
    pub report: Option<Report>,
}

/// State of an agent and its target, as entries use it for routing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Target of the agent.
    pub target: TargetId,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Revision in force at the agent.
    pub revision: Revision,
    /// Whether the target takes new work.
    pub phase: Phase,
    /// Models that the target serves now.
    pub models: Vec<ModelId>,
    /// Application that the target serves.
    pub application: Option<ApplicationId>,
    /// Load of the target.
    pub load: Load,
    /// Where the target is on its way to the release note.
    pub progress: Progress,
}

/// Load of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that the agent has admitted and that have not ended.
    pub running: u32,
    /// Most requests that the agent admits at the moment.
    pub cap: u32,
    /// Tokens of admitted prompts whose prefill has not ended.
    pub prefill: Tokens,
    /// The part of `prefill` that belongs to prompts over 8,000 and up to 100,000 tokens.
    #[serde(default)]
    pub medium_prefill: Tokens,
    /// The part of `prefill` that belongs to prompts over 100,000 tokens.
    #[serde(default)]
    pub long_prefill: Tokens,
    /// KV cache in use or leased, in tokens.
    pub kv_used: Tokens,
    /// KV cache of the engine, in tokens.
    pub kv_total: Tokens,
    /// Prefill rate that the agent observes, in tokens a second.
    pub prefill_rate: Tokens,
}

/// Where a target is on its way to a release note.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Number of the note that the agent follows, 0 if there is none.
    pub note: u64,
    /// Whether the target is what the note asks for.
    pub done: bool,
    /// Whether the target takes new work.
    pub serving: bool,
    /// Where the target stands in its turn to change.
    pub stage: Stage,
}

/// Asks for engine memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Request that needs the memory.
    pub request: RequestId,
    /// KV cache to reserve, in tokens.
    pub tokens: Tokens,
    /// Remaining time limit of the request.
    pub remaining: Duration,
}

/// Answer to a request for engine memory.
pub type LeaseReply = Result<Grant, Refusal>;
