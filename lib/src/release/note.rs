//! Schema of the release note.

use crate::ids::{ModelId, TargetId, ZoneId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString};

/// A release note: the models, adapters, targets and zones to add, change or withdraw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Number of the note, which increases with each note.
    pub number: u64,
    /// Maximum number of targets of a group that may be unavailable for a change at the same time.
    pub max_unavailable: usize,
    /// Delay between the weight loads of targets that change at the same time, in milliseconds.
    #[serde(default = "default_stagger")]
    pub stagger_ms: u64,
    /// Changes of models and their versions.
    #[serde(default)]
    pub models: Vec<ModelChange>,
    /// Changes of adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterChange>,
    /// Changes of targets.
    #[serde(default)]
    pub targets: Vec<TargetChange>,
    /// Changes of availability zones.
    #[serde(default)]
    pub zones: Vec<ZoneChange>,
}

impl ReleaseNote {
    /// Returns the delay between the weight loads of targets that change at the same time.
    pub fn stagger(&self) -> Duration {
        Duration::from_millis(self.stagger_ms)
    }
}

/// Kind of change to a model, adapter, target or zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Action {
    /// Added to the fleet.
    Added,
    /// Stays in the fleet and changes as the note describes.
    Changed,
    /// Removed from the fleet.
    Withdrawn,
}

/// Change of the version of a model on its targets, or its removal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelChange {
    /// Kind of change to the model.
    pub action: Action,
    /// Name of the model.
    pub model: ModelId,
    /// Version to load; `None`, for a withdrawn model, unloads it.
    #[serde(default)]
    pub version: Option<String>,
    /// Targets that the change applies to; if empty, all targets that list the model.
    #[serde(default)]
    pub targets: Vec<TargetId>,
}

/// An adapter of a model that targets load or unload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterChange {
    /// Kind of change to the adapter.
    pub action: Action,
    /// Name of the model that the adapter belongs to.
    pub model: ModelId,
    /// Name of the adapter.
    pub adapter: String,
}

/// A target that is added, changes its role or is withdrawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetChange {
    /// Kind of change to the target.
    pub action: Action,
    /// Name of the target.
    pub target: TargetId,
    /// New role of the engine, or `None` to keep the current one.
    #[serde(default)]
    pub role: Option<String>,
}

/// An availability zone that is added, returned to service or withdrawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneChange {
    /// Kind of change to the zone.
    pub action: Action,
    /// Name of the zone.
    pub zone: ZoneId,
}

fn default_stagger() -> u64 {
    2_000
}
