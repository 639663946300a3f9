//! A target as described by the platform's list of targets.

use crate::ids::{ServiceId, TargetId, ZoneId};
use std::{net::SocketAddr, time::SystemTime};
use strum::{Display, IntoStaticStr};

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// The target accepts new requests.
    Ready,
    /// The target finishes the requests that it has and then shuts down.
    Draining,
}

/// One entry of the platform's list of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identifier of the target; it usually changes when the target restarts.
    pub id: TargetId,
    /// Service whose requests the target answers.
    pub service: ServiceId,
    /// Address for requests; it can be reassigned to another target later.
    pub address: SocketAddr,
    /// Zone in which the target runs.
    pub zone: ZoneId,
    /// Whether the target accepts new requests.
    pub state: MemberState,
    /// Start time of the target, if the list has it.
    pub started_at: Option<SystemTime>,
}
