//! Loaded models and role of an engine, and the queue of orders that change them.

use super::{error::EngineError, settings::EngineSettings};
use fulmarhead_lib::{
    ids::{FencingToken, ModelId},
    release::{LoadedModel, Order, OrderRequest},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

/// Loaded models, role and pending orders of an engine.
#[derive(Debug)]
pub(super) struct Models {
    load_time: Duration,
    uses_store: bool,
    ignore_fencing: bool,
    loaded: BTreeMap<ModelId, Loaded>,
    pub(super) role: String,
    pub(super) fencing: FencingToken,
    orders: VecDeque<Order>,
    order_end: Option<Instant>,
}

#[derive(Debug, Default)]
struct Loaded {
    version: String,
    adapters: BTreeSet<String>,
}

impl Models {
    /// Returns the state at engine start: the configured models and the general role.
    pub(super) fn new(settings: &EngineSettings) -> Self {
        let loaded = |model: &ModelId| {
            let version = settings.version.clone();
            (model.clone(), Loaded { version, adapters: BTreeSet::new() })
        };
        Self {
            load_time: settings.load_time,
            uses_store: settings.weight_store.is_some(),
            ignore_fencing: settings.ignore_fencing,
            loaded: settings.models.iter().map(loaded).collect(),
            role: "general".to_owned(),
            fencing: 0,
            orders: VecDeque::new(),
            order_end: None,
        }
    }

    /// Returns whether any version of a model is loaded.
    pub(super) fn is_loaded(&self, model: &str) -> bool {
        self.loaded.contains_key(model)
    }

    /// Returns the loaded models, sorted by name.
    pub(super) fn list(&self) -> Vec<LoadedModel> {
        let loaded_model = |(model, loaded): (&ModelId, &Loaded)| LoadedModel {
            model: model.clone(),
            version: loaded.version.clone(),
            adapters: loaded.adapters.iter().cloned().collect(),
        };
        self.loaded.iter().map(loaded_model).collect()
    }

    /// Queues an order; orders are executed one at a time.
    ///
    /// Fails if the fencing token is lower than that of an earlier order and fencing is enforced.
    pub(super) fn queue_order(
        &mut self,
        request: OrderRequest,
        now: Instant,
    ) -> Result<(), EngineError> {
        if request.fencing < self.fencing && !self.ignore_fencing {
            return Err(EngineError::StaleFencing);
        }
        self.fencing = self.fencing.max(request.fencing);
        self.orders.push_back(request.order);
        self.start_next(now);
        Ok(())
    }

    /// Drops the orders that are not executed yet.
    pub(super) fn clear_orders(&mut self) {
        self.orders.clear();
        self.order_end = None;
    }

    /// Returns the model and the version or adapter whose weights the current order needs.
    pub(super) fn needed_weights(&self) -> Option<(ModelId, String)> {
        match self.orders.front().filter(|_| self.order_end.is_none())? {
            Order::LoadModel { model, version } => Some((model.clone(), version.clone())),
            Order::LoadAdapter { model, adapter } => Some((model.clone(), adapter.clone())),
            _ => None,
        }
    }

    /// Records that `weights` are downloaded, and starts loading if the current order needs them.
    pub(super) fn record_weights(&mut self, weights: &(ModelId, String), now: Instant) {
        if self.needed_weights().as_ref() == Some(weights) {
            self.order_end = Some(now + self.load_time);
        }
    }

    /// Returns when the current order completes, if that is known.
    pub(super) fn order_end(&self) -> Option<Instant> {
        self.order_end
    }

    /// Applies the current order and starts the next one.
    pub(super) fn finish_order(&mut self, now: Instant) {
        self.order_end = None;
        if let Some(order) = self.orders.pop_front() {
            self.apply(order);
        }
        self.start_next(now);
    }

    fn start_next(&mut self, now: Instant) {
        if self.order_end.is_some() || self.orders.is_empty() {
            return;
        }
        self.order_end = match self.needed_weights() {
            Some(_) if self.uses_store => None,
            Some(_) => Some(now + self.load_time),
            None => Some(now),
        };
    }

    fn apply(&mut self, order: Order) {
        match order {
            Order::LoadModel { model, version } => {
                self.loaded.insert(model, Loaded { version, adapters: BTreeSet::new() });
            }
            Order::UnloadModel { model } => {
                self.loaded.remove(&model);
            }
            Order::LoadAdapter { model, adapter } => {
                if let Some(loaded) = self.loaded.get_mut(&model) {
                    loaded.adapters.insert(adapter);
                }
            }
            Order::UnloadAdapter { model, adapter } => {
                if let Some(loaded) = self.loaded.get_mut(&model) {
                    loaded.adapters.remove(&adapter);
                }
            }
            Order::SetRole { role } => self.role = role,
        }
    }
}
