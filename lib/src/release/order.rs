//! Orders to engines and what engines have loaded.

use crate::ids::{FencingToken, ModelId};
use serde::{Deserialize, Serialize};

/// An order with the number that lets an engine refuse an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing number of the agent that gives the order.
    pub fencing: FencingToken,
    /// What to do.
    pub order: Order,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load a version of a model in place of the loaded one.
    LoadModel {
        /// Name of the model.
        model: ModelId,
        /// Version of the model.
        version: String,
    },
    /// Unload a model.
    UnloadModel {
        /// Name of the model.
        model: ModelId,
    },
    /// Load an adapter beside a model.
    LoadAdapter {
        /// Name of the model.
        model: ModelId,
        /// Name of the adapter.
        adapter: String,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Name of the model.
        model: ModelId,
        /// Name of the adapter.
        adapter: String,
    },
    /// Change the role.
    SetRole {
        /// Name of the role.
        role: String,
    },
}

impl Order {
    /// Returns whether the engine reads weights from the weight store for the order.
    pub fn reads_weights(&self) -> bool {
        matches!(self, Self::LoadModel { .. } | Self::LoadAdapter { .. })
    }
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the model.
    pub version: String,
    /// Adapters beside the model.
    pub adapters: Vec<String>,
}
