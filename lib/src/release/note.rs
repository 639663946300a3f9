//! The schema of the release note.

use crate::ids::{ModelId, TargetId, ZoneId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString};

/// What is added, changed and withdrawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Number of the note; it only rises.
    pub number: u64,
    /// Most targets of a group that may be unavailable for a change at once.
    pub max_unavailable: usize,
    /// Time between the weight loads of targets that change at once, in milliseconds.
    #[serde(default = "default_stagger")]
    pub stagger_ms: u64,
    /// Models and their versions.
    #[serde(default)]
    pub models: Vec<ModelChange>,
    /// Adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterChange>,
    /// Targets.
    #[serde(default)]
    pub targets: Vec<TargetChange>,
    /// Availability zones.
    #[serde(default)]
    pub zones: Vec<ZoneChange>,
}

impl ReleaseNote {
    /// Returns the time between the weight loads of targets that change at once.
    pub fn stagger(&self) -> Duration {
        Duration::from_millis(self.stagger_ms)
    }
}

/// What becomes of a named thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Action {
    /// It joins the fleet.
    Added,
    /// It stays and becomes what the note says.
    Changed,
    /// It leaves the fleet.
    Withdrawn,
}

/// A model that targets load in a version, or unload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelChange {
    /// What becomes of the model.
    pub action: Action,
    /// Name of the model.
    pub model: ModelId,
    /// Version to load; none for a withdrawn model.
    #[serde(default)]
    pub version: Option<String>,
    /// Targets that the change is for; empty for all that list the model.
    #[serde(default)]
    pub targets: Vec<TargetId>,
}

/// An adapter that targets load beside a model, or unload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterChange {
    /// What becomes of the adapter.
    pub action: Action,
    /// Name of the model.
    pub model: ModelId,
    /// Name of the adapter.
    pub adapter: String,
}

/// A target that joins, changes its role or leaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetChange {
    /// What becomes of the target.
    pub action: Action,
    /// Name of the target.
    pub target: TargetId,
    /// Role that the engine takes.
    #[serde(default)]
    pub role: Option<String>,
}

/// An availability zone that joins, returns or leaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneChange {
    /// What becomes of the zone.
    pub action: Action,
    /// Name of the zone.
    pub zone: ZoneId,
}

fn default_stagger() -> u64 {
    2_000
}
