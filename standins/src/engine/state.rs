//! State of an engine: loaded models, memory and the batch.

use fulmarhead_lib::{
    ids::{LeaseId, ModelId, Tokens},
    lease::Allocation,
};
use fulmarhead_runtime::platform::engine::{EngineLoad, LoadedModel};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::Semaphore;

/// Abilities and slopes of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Models that are loaded at the start.
    pub models: Vec<ModelId>,
    /// KV cache, in tokens.
    pub kv_total: Tokens,
    /// Prefill rate, in tokens a second.
    pub prefill_rate: Tokens,
    /// Time for one token of an otherwise empty batch.
    pub decode_time: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            models: vec!["assistant".to_owned()],
            kv_total: 450_000,
            prefill_rate: 400_000,
            decode_time: Duration::from_millis(5),
        }
    }
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    pub(super) settings: EngineSettings,
    pub(super) prefill: Semaphore,
    state: Mutex<EngineState>,
}

#[derive(Debug, Default)]
pub(super) struct EngineState {
    pub(super) running: u32,
    pub(super) waiting: Tokens,
    pub(super) used: Tokens,
    pub(super) leases: BTreeMap<LeaseId, Tokens>,
}

impl Engine {
    /// Returns an engine that has just started.
    pub fn new(settings: EngineSettings) -> Arc<Self> {
        let state = Mutex::default();
        Arc::new(Self { settings, prefill: Semaphore::new(1), state })
    }

    /// Returns the load of the engine.
    pub fn load(&self) -> EngineLoad {
        let state = self.lock();
        let loaded = |model: &ModelId| LoadedModel {
            model: model.clone(),
            version: "1".to_owned(),
            adapters: Vec::new(),
        };
        EngineLoad {
            running: state.running,
            prefill_waiting: state.waiting,
            kv_used: state.used + state.leases.values().sum::<Tokens>(),
            kv_total: self.settings.kv_total,
            prefill_rate: self.settings.prefill_rate,
            models: self.settings.models.iter().map(loaded).collect(),
            ..EngineLoad::default()
        }
    }

    /// Returns the memory that leases hold.
    pub fn allocations(&self) -> Vec<Allocation> {
        let state = self.lock();
        let allocation = |(&lease, &tokens): (&LeaseId, &Tokens)| Allocation { lease, tokens };
        state.leases.iter().map(allocation).collect()
    }

    /// Returns how long the prefill of `tokens` takes.
    pub fn prefill_time(&self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.settings.prefill_rate as f64)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl EngineState {
    /// Returns the memory that is neither leased nor in use.
    pub(super) fn free(&self, total: Tokens) -> Tokens {
        total.saturating_sub(self.used + self.leases.values().sum::<Tokens>())
    }
}
