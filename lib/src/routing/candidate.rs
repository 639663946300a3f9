//! A target that may take a piece of work, as an entry knows it.

use crate::{
    control::Load,
    ids::{TargetId, Tokens, ZoneId},
};
use std::time::Duration;

/// A target that may take a piece of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Zone of the target.
    pub zone: ZoneId,
    /// Load at the last report.
    pub load: Load,
    /// Age of the last report.
    pub age: Duration,
    /// Requests that this entry has at the target.
    pub inflight: u32,
    /// Tokens of prompts that this entry has sent and that have no first token yet.
    pub prefill: Tokens,
    /// Prompt tokens whose prefix the target probably has in its cache.
    pub cached: Tokens,
}
