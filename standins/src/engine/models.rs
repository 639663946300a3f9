//! Loaded models, the role and the orders that change them.

use super::{error::EngineError, settings::EngineSettings};
use fulmarhead_lib::{
    ids::{FencingToken, ModelId},
    release::{LoadedModel, Order, OrderRequest},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

/// Models, role and orders of an engine.
#[derive(Debug)]
pub(super) struct Models {
    load_time: Duration,
    draws: bool,
    ignore_fencing: bool,
    loaded: BTreeMap<ModelId, Loaded>,
    pub(super) role: String,
    pub(super) fencing: FencingToken,
    orders: VecDeque<Order>,
    ends: Option<Instant>,
}

#[derive(Debug, Default)]
struct Loaded {
    version: String,
    adapters: BTreeSet<String>,
}

impl Models {
    /// Returns the models of an engine at its start.
    pub(super) fn new(settings: &EngineSettings) -> Self {
        let loaded = |model: &ModelId| {
            let version = settings.version.clone();
            (model.clone(), Loaded { version, adapters: BTreeSet::new() })
        };
        Self {
            load_time: settings.load_time,
            draws: settings.weight_store.is_some(),
            ignore_fencing: settings.ignore_fencing,
            loaded: settings.models.iter().map(loaded).collect(),
            role: "general".to_owned(),
            fencing: 0,
            orders: VecDeque::new(),
            ends: None,
        }
    }

    /// Returns whether a model is loaded.
    pub(super) fn has(&self, model: &str) -> bool {
        self.loaded.contains_key(model)
    }

    /// Returns the loaded models.
    pub(super) fn list(&self) -> Vec<LoadedModel> {
        let entry = |(model, loaded): (&ModelId, &Loaded)| LoadedModel {
            model: model.clone(),
            version: loaded.version.clone(),
            adapters: loaded.adapters.iter().cloned().collect(),
        };
        self.loaded.iter().map(entry).collect()
    }

    /// Takes an order; orders are carried out one after another.
    pub(super) fn order(&mut self, request: OrderRequest, now: Instant) -> Result<(), EngineError> {
        if request.fencing < self.fencing && !self.ignore_fencing {
            return Err(EngineError::StaleFencing);
        }
        self.fencing = self.fencing.max(request.fencing);
        self.orders.push_back(request.order);
        self.start_next(now);
        Ok(())
    }

    /// Forgets the orders that are not carried out yet.
    pub(super) fn forget_orders(&mut self) {
        self.orders.clear();
        self.ends = None;
    }

    /// Returns the model and the version or adapter whose weights the current order waits for.
    pub(super) fn wanted(&self) -> Option<(ModelId, String)> {
        match self.orders.front().filter(|_| self.ends.is_none())? {
            Order::LoadModel { model, version } => Some((model.clone(), version.clone())),
            Order::LoadAdapter { model, adapter } => Some((model.clone(), adapter.clone())),
            _ => None,
        }
    }

    /// Records that the weights of the current order are here.
    pub(super) fn weights_here(&mut self, wanted: &(ModelId, String), now: Instant) {
        if self.wanted().as_ref() == Some(wanted) {
            self.ends = Some(now + self.load_time);
        }
    }

    /// Returns when the current order is carried out.
    pub(super) fn order_end(&self) -> Option<Instant> {
        self.ends
    }

    /// Carries out the current order and starts the next one.
    pub(super) fn finish_order(&mut self, now: Instant) {
        self.ends = None;
        if let Some(order) = self.orders.pop_front() {
            self.apply(order);
        }
        self.start_next(now);
    }

    fn start_next(&mut self, now: Instant) {
        if self.ends.is_some() || self.orders.is_empty() {
            return;
        }
        self.ends = match self.wanted() {
            Some(_) if self.draws => None,
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
