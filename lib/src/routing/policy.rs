//! Names of the routing policies.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// A way to choose among candidates.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PolicyKind {
    /// Each candidate in turn.
    RoundRobin,
    /// The candidate with the least reported load.
    LeastLoad,
    /// The less loaded of two random candidates.
    TwoChoices,
    /// The candidate with the shortest expected time to the first token.
    #[default]
    ExpectedWait,
}
