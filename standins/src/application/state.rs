//! State of an application worker.

use serde::{Deserialize, Serialize};
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

/// Abilities of an application worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplicationSettings {
    /// Time for one call.
    pub service_time: Duration,
    /// Calls at once.
    pub capacity: u32,
}

impl Default for ApplicationSettings {
    fn default() -> Self {
        Self { service_time: Duration::from_millis(10), capacity: 64 }
    }
}

/// One effect of a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Idempotency key of the call.
    pub key: String,
    /// Method and path of the call.
    pub call: String,
    /// Body of the call.
    pub body: String,
}

/// An application worker.
#[derive(Debug)]
pub struct Application {
    pub(super) settings: ApplicationSettings,
    state: Mutex<ApplicationState>,
}

#[derive(Debug, Default)]
pub(super) struct ApplicationState {
    pub(super) running: u32,
    pub(super) effects: Vec<Effect>,
}

impl Application {
    /// Returns a worker without effects.
    pub fn new(settings: ApplicationSettings) -> Arc<Self> {
        Arc::new(Self { settings, state: Mutex::default() })
    }

    /// Returns all effects in their order.
    pub fn effects(&self) -> Vec<Effect> {
        self.lock().effects.clone()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ApplicationState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
