//! Kinds of exchanges between two entries.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Purpose for which an entry calls a peer.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Link {
    /// The peer is the relay of the caller's zone.
    Relay,
    /// The caller is the relay of its zone and the peer that of another zone.
    Zone,
    /// The caller is a relay without a recent copy of the store, and the peer an entry of its zone
    /// that may have one.
    Backup,
    /// The zone of the peer is not known yet.
    Discovery,
}
