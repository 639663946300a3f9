//! Result of selecting a target for one request.

use super::TargetLoad;
use crate::ids::{TargetId, Tokens};
use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};
use strum::{Display, IntoStaticStr};

/// Reason why no target was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum PlacementError {
    /// The service has no usable target.
    NoTarget,
    /// No usable target can accept the request now: all are in back-off, at their start rate or
    /// already tried, too few engines have enough memory, or a latency-sensitive request would miss
    /// its objective.
    Full,
    /// All untried targets have asked for no requests or have none left of their limits; the first of
    /// them may get one after this time.
    Paused(Duration),
}

/// The target selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Identifier of the selected target.
    pub target: TargetId,
    /// Address to which the request is sent.
    pub address: SocketAddr,
    /// Start time of the target, if the list has it.
    pub started_at: Option<SystemTime>,
    /// Load of the target before the request.
    pub load: TargetLoad,
    /// Targets that prefill parts of the prompt for the selected target.
    pub helpers: Vec<Helper>,
    /// Prefill time of the prompt, or of the part of it that each target gets, in ms; 0 at an
    /// application.
    pub prefill_ms: f64,
    /// Number of available targets of the service, or of all usable ones if the request needs the
    /// memory of several engines.
    pub candidates: usize,
}

/// A target that prefills a part of a prompt for another target.
#[derive(Clone, Debug, PartialEq)]
pub struct Helper {
    /// Identifier of the helper.
    pub target: TargetId,
    /// Address of the helper.
    pub address: SocketAddr,
    /// Tokens whose KV cache the helper holds until the answer ends; 0 if it only prefills.
    pub held_tokens: Tokens,
}

/// Whether the selection honours the back-off of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backoff {
    /// Skips targets in back-off.
    Respect,
    /// Considers targets in back-off as well.
    Ignore,
}
