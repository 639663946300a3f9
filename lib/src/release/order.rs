//! Orders to engines, and the models that engines report as loaded.

use crate::ids::{FencingToken, ModelId};
use serde::{Deserialize, Serialize};

/// An order with a fencing token, by which an engine refuses orders from a superseded agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing token that the issuing agent assigned to the order.
    pub fencing: FencingToken,
    /// Order to execute.
    pub order: Order,
}

/// A change of loaded models, adapters or role that an agent orders from an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load a version of a model, replacing the loaded version.
    LoadModel {
        /// Name of the model.
        model: ModelId,
        /// Version to load.
        version: String,
    },
    /// Unload a model and its adapters.
    UnloadModel {
        /// Name of the model.
        model: ModelId,
    },
    /// Load an adapter of a loaded model.
    LoadAdapter {
        /// Name of the model.
        model: ModelId,
        /// Name of the adapter.
        adapter: String,
    },
    /// Unload an adapter of a loaded model.
    UnloadAdapter {
        /// Name of the model.
        model: ModelId,
        /// Name of the adapter.
        adapter: String,
    },
    /// Change the role of the engine.
    SetRole {
        /// Name of the new role.
        role: String,
    },
}

impl Order {
    /// Returns whether executing the order reads weights from the weight store.
    pub fn reads_weights(&self) -> bool {
        matches!(self, Self::LoadModel { .. } | Self::LoadAdapter { .. })
    }
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelId,
    /// Loaded version of the model.
    pub version: String,
    /// Names of the loaded adapters of the model.
    pub adapters: Vec<String>,
}
