//! What entries tell each other about crashes and quarantined features.
//!
//! Times are sent as ages, since the clocks of entries differ.

use super::{AnswerStage, CrashId, Feature, FeatureSet};

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of a change of the quarantine of one entry, which orders its changes.
pub type Version = u64;

/// Changes of the quarantine of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Crashes of targets.
    pub crashes: Vec<CrashNews>,
    /// Answers that show that a suspected feature is harmless.
    pub answers: Vec<AnswerNews>,
    /// Sets of features that are quarantined.
    pub holds: Vec<HoldNews>,
}

/// A crash of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Run of the target.
    pub id: CrashId,
    /// Time since the crash.
    pub age: Duration,
    /// Parts of requests whose answers had begun without any event.
    pub begun: FeatureSet,
    /// Parts of requests whose first event had just arrived.
    pub started: FeatureSet,
    /// Parts of requests of which no answer had begun.
    pub waiting: FeatureSet,
    /// Whether the answer to any request had begun without any event.
    pub had_begun: bool,
    /// Contents of all requests that were lost, also of those that are no suspects.
    pub lost: FeatureSet,
}

/// The last answer to a request with a certain feature that has reached `stage`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerNews {
    /// Feature of the request.
    pub feature: Feature,
    /// Stage that the answer has reached.
    pub stage: AnswerStage,
    /// Time since then.
    pub age: Duration,
}

/// Parts that are quarantined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldNews {
    /// Quarantined features.
    pub features: FeatureSet,
    /// Time since the quarantine began.
    pub age: Duration,
    /// How often the features have been quarantined, this time included.
    pub spell: u32,
}

impl News {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answers.is_empty() && self.holds.is_empty()
    }
}
