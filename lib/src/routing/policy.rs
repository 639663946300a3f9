//! Names of the routing policies.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// A policy that selects one of the candidates.
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
    /// Selects the candidates in rotation.
    RoundRobin,
    /// Selects the candidate with the fewest running requests in its last load.
    LeastLoad,
    /// Selects, of two random candidates, the one with fewer running requests in its last load.
    TwoChoices,
    /// Selects the candidate with the lowest score, which is mainly the expected time to the first
    /// token.
    #[default]
    ExpectedWait,
}

/// How an entry expects targets to keep the prefixes of prompts.
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
pub enum AffinityKind {
    /// The target that last accepted a prefix keeps it for 60 s.
    #[default]
    RecentSends,
    /// Each target that served a prefix keeps it with a probability, which is learned from answers.
    ExpectedSaving,
}
