//! Engine handle that connections share.

use super::{
    admission::{StreamHandle, StreamPoll},
    error::EngineError,
    settings::EngineSettings,
    state::EngineState,
};
use fulmarhead_lib::{clock::SharedClock, ids::Position, lease::Allocation};
use fulmarhead_runtime::{clock::SystemClock, platform::engine::EngineLoad};
use std::{
    fmt::{self, Debug, Formatter},
    sync::{Arc, Mutex},
    time::Instant,
};
use tokio::{sync::watch, time::sleep_until};

/// Simulated model engine; its state is advanced to the current time on each access.
pub struct Engine {
    clock: SharedClock,
    state: Mutex<EngineState>,
    changes: watch::Sender<u64>,
}

impl Engine {
    /// Returns a newly started engine that uses the system clock.
    pub fn new(settings: EngineSettings) -> Arc<Self> {
        Self::with_clock(settings, SystemClock::shared())
    }

    /// Returns a newly started engine that reads the time from `clock`.
    pub fn with_clock(settings: EngineSettings, clock: SharedClock) -> Arc<Self> {
        let state = Mutex::new(EngineState::new(settings, clock.now()));
        Arc::new(Self { clock, state, changes: watch::channel(0).0 })
    }

    /// Returns the load report, which lags by [`EngineSettings::load_lag`].
    pub fn load(&self) -> EngineLoad {
        self.read(EngineState::load)
    }

    /// Returns the memory allocated to leases.
    pub fn allocations(&self) -> Vec<Allocation> {
        self.read(|state| state.memory.allocations())
    }

    /// Makes the engine cold again, without a restart.
    pub fn reset_warmup(&self) {
        self.change(|state| state.warmup.reset());
    }

    /// Restarts the engine: aborts all connections and clears memory, cache and pending orders.
    pub fn restart(&self) {
        self.change(EngineState::restart);
    }

    /// Waits until `version` of `model` is loaded.
    pub async fn wait_loaded(&self, model: &str, version: &str) {
        let mut changes = self.changes();
        loop {
            let (models, end) = self.read(|state| (state.models.list(), state.models.order_end()));
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

    /// Advances the state to the current time and reads it.
    pub(super) fn read<T>(&self, read: impl FnOnce(&mut EngineState) -> T) -> T {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.advance(self.clock.now());
        read(&mut state)
    }

    /// Advances the state to the current time, changes it and wakes all waiting tasks.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut EngineState) -> T) -> T {
        let result = self.read(|state| {
            let result = change(state);
            state.update_schedule();
            result
        });
        self.changes.send_modify(|changes| *changes += 1);
        result
    }

    /// Returns a receiver that is notified of each later change.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits until a stream has tokens or its end for a reader at position `from`.
    pub(super) async fn wait(
        &self,
        handle: StreamHandle,
        from: Position,
    ) -> Result<StreamPoll, EngineError> {
        let mut changes = self.changes();
        loop {
            let poll = self.read(|state| state.poll(handle, from))?;
            let StreamPoll::Wait(until) = poll else { return Ok(poll) };
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
        f.debug_struct("Engine").field("state", &self.state).finish_non_exhaustive()
    }
}

/// Sleeps until `until`, or forever if there is no such time.
pub(super) async fn wait_until(until: Option<Instant>) {
    match until {
        Some(until) => sleep_until(until.into()).await,
        None => std::future::pending().await,
    }
}
