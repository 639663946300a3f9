//! The schema of the release note.

use crate::ids::{ModelId, TargetId};
use serde::{Deserialize, Serialize};

/// What is added, changed and withdrawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Number of the note; it only rises.
    pub number: u64,
    /// Most targets of a group that may be out of service for a change at once.
    pub max_unavailable: usize,
    /// Changes to targets.
    pub changes: Vec<Change>,
}

/// What the named targets are to load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Targets that the change is for.
    pub targets: Vec<TargetId>,
    /// Model to serve.
    pub model: ModelId,
    /// Version of the model.
    pub version: String,
    /// Adapters to load beside the model.
    #[serde(default)]
    pub adapters: Vec<String>,
}
