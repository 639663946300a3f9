//! A model engine, shared by its connections.

use super::{
    admit::{Place, Poll},
    core::Core,
    error::EngineError,
    settings::EngineSettings,
};
use fulmarhead_lib::{clock::SharedClock, ids::Position, lease::Allocation};
use fulmarhead_runtime::{clock::SystemClock, platform::engine::EngineLoad};
use std::{
    fmt::{self, Debug, Formatter},
    sync::{Arc, Mutex},
    time::Instant,
};
use tokio::{sync::watch, time::sleep_until};

/// A model engine.
pub struct Engine {
    clock: SharedClock,
    core: Mutex<Core>,
    changes: watch::Sender<u64>,
}

impl Engine {
    /// Returns an engine that has just started.
    pub fn new(settings: EngineSettings) -> Arc<Self> {
        Self::with_clock(settings, SystemClock::shared())
    }

    /// Returns an engine that has just started and reads the time from `clock`.
    pub fn with_clock(settings: EngineSettings, clock: SharedClock) -> Arc<Self> {
        let core = Mutex::new(Core::new(settings, clock.now()));
        Arc::new(Self { clock, core, changes: watch::channel(0).0 })
    }

    /// Returns the load of the engine as it reports it.
    pub fn load(&self) -> EngineLoad {
        self.read(Core::load)
    }

    /// Returns the memory that leases hold.
    pub fn allocations(&self) -> Vec<Allocation> {
        self.read(|core| core.memory.allocations())
    }

    /// Makes the engine cold, without a restart.
    pub fn turn_cold(&self) {
        self.change(|core| core.warmth.turn_cold());
    }

    /// Restarts the engine: all connections break, and memory and cache are empty.
    pub fn restart(&self) {
        self.change(Core::restart);
    }

    /// Waits until a version of a model is loaded.
    pub async fn loaded(&self, model: &str, version: &str) {
        let mut changes = self.changes();
        loop {
            let (models, end) = self.read(|core| (core.models.list(), core.models.order_end()));
            if models.iter().any(|loaded| loaded.model == model && loaded.version == version) {
                return;
            }
            tokio::select! {
                () = wait_until(end) => {}
                // The sender lives as long as the engine.
                _ = changes.changed() => {}
            }
        }
    }

    /// Computes the state up to now and reads it.
    pub(super) fn read<T>(&self, read: impl FnOnce(&mut Core) -> T) -> T {
        let mut core = self.core.lock().expect("no holder of the lock panics");
        core.advance(self.clock.now());
        read(&mut core)
    }

    /// Computes the state up to now, changes it and wakes the readers.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut Core) -> T) -> T {
        let result = self.read(|core| {
            let result = change(core);
            core.settle();
            result
        });
        self.changes.send_modify(|changes| *changes += 1);
        result
    }

    /// Returns a receiver that sees each later change.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits until a stream has something for a reader at position `from`.
    pub(super) async fn wait(&self, place: Place, from: Position) -> Result<Poll, EngineError> {
        let mut changes = self.changes();
        loop {
            let poll = self.read(|core| core.poll(place, from))?;
            let Poll::Wait(until) = poll else { return Ok(poll) };
            tokio::select! {
                () = wait_until(until) => {}
                // The sender lives as long as the engine.
                _ = changes.changed() => {}
            }
        }
    }
}

impl Debug for Engine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Engine").field("core", &self.core).finish_non_exhaustive()
    }
}

pub(super) async fn wait_until(until: Option<Instant>) {
    match until {
        Some(until) => sleep_until(until.into()).await,
        None => std::future::pending().await,
    }
}
