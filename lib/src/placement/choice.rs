//! The choice of a target for one request.

use super::TargetLoad;
use crate::ids::{TargetId, Tokens};
use std::net::SocketAddr;
use strum::{Display, IntoStaticStr};

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum Shortage {
    /// The service has no target that may be used.
    NoTarget,
    /// Each target has as much work as it takes.
    Full,
}

/// The target that gets a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Its load before the request.
    pub load: TargetLoad,
    /// Targets that read parts of the prompt for it.
    pub helpers: Vec<Helper>,
    /// Time to read the prompt, or the target's part of it, in ms.
    pub read_ms: f64,
    /// Number of targets that were compared.
    pub candidates: usize,
}

/// A target that reads a part of a prompt for another.
#[derive(Clone, Debug, PartialEq)]
pub struct Helper {
    /// Target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Part of the prompt that it holds until the answer ends, in tokens; 0 if it only reads.
    pub holds: Tokens,
}

/// Whether a choice may use targets that were tried or that failed lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waive {
    /// No.
    Nothing,
    /// Targets that failed lately may be used.
    Health,
}
