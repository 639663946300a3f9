//! What the platform's list says of a target.

use crate::ids::{ServiceId, TargetId, ZoneId};
use std::{net::SocketAddr, time::SystemTime};
use strum::{Display, IntoStaticStr};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// It takes new work.
    Ready,
    /// It finishes its work and leaves.
    Draining,
}

/// A target as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identifier of the target; a later life mostly has another.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address for requests; may belong to another target later.
    pub address: SocketAddr,
    /// Zone.
    pub zone: ZoneId,
    /// Whether it takes new work.
    pub state: MemberState,
    /// Start of this life, if the list says it.
    pub born: Option<SystemTime>,
}
