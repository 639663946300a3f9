//! What entries tell each other about the limits of targets.

use crate::{ids::TargetId, limits::RequestRate};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

/// Number of a change of the limits that one entry knows, which orders its changes.
pub type LimitVersion = u64;

/// The limit of one run of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Identifier of the target.
    pub target: TargetId,
    /// Start time of the run, if the list has it.
    pub started_at: Option<SystemTime>,
    /// Number of the last change. The limit with the highest number counts, and of several ones
    /// with the same number the lowest.
    pub serial: u64,
    /// Rate that the target accepts; `None` once the limit has ended.
    pub rate: Option<RequestRate>,
    /// Time since any entry last sent a request to the target; zero once the limit has ended.
    pub idle: Duration,
}
