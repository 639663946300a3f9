//! State of an application worker.

use crate::cold::{ColdSettings, Warmth};
use fulmarhead_runtime::{
    http::{Client, ClientError, Endpoint},
    supervisor::Connections,
};
use hyper::Method;
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio_util::sync::CancellationToken;

/// Longest time for the recorder to answer.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);

/// Abilities of an application worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplicationSettings {
    /// Time for one call.
    pub service_time: Duration,
    /// Calls at once; more wait for their turn.
    pub capacity: u32,
    /// Recorder that keeps the effects when the worker is killed.
    pub recorder: Option<SocketAddr>,
    /// Cold start.
    pub cold: ColdSettings,
}

impl Default for ApplicationSettings {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(10),
            capacity: 64,
            recorder: None,
            cold: ColdSettings::default(),
        }
    }
}

/// Faults that a test sets; each count falls by one with each call that it strikes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ApplicationFaults {
    /// Calls whose connection breaks before their effect, which does not happen.
    pub before_effect: u32,
    /// Calls whose connection breaks after their effect.
    pub after_effect: u32,
    /// Time added to each call, in milliseconds.
    pub slow_ms: u64,
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
    pub(super) calls: Connections,
    client: Client,
    state: Mutex<ApplicationState>,
}

#[derive(Debug)]
pub(super) struct ApplicationState {
    pub(super) faults: ApplicationFaults,
    pub(super) running: u32,
    pub(super) restarts: u64,
    effects: Vec<Effect>,
    warmth: Warmth,
    /// Cancelled by a restart, which breaks all calls.
    life: CancellationToken,
}

impl Application {
    /// Returns a worker without effects.
    pub fn new(settings: ApplicationSettings) -> Arc<Self> {
        let state = ApplicationState {
            faults: ApplicationFaults::default(),
            running: 0,
            restarts: 0,
            effects: Vec::new(),
            warmth: Warmth::new(settings.cold),
            life: CancellationToken::new(),
        };
        Arc::new(Self {
            settings,
            calls: Connections::new(settings.capacity as usize),
            client: Client::default(),
            state: Mutex::new(state),
        })
    }

    /// Returns all effects in their order.
    pub fn effects(&self) -> Vec<Effect> {
        self.lock().effects.clone()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: ApplicationFaults) {
        self.lock().faults = faults;
    }

    /// Makes the worker cold, without a restart.
    pub fn turn_cold(&self) {
        self.lock().warmth.turn_cold();
    }

    /// Restarts the worker: all calls break, and effects that have not happened never will.
    pub fn restart(&self) {
        self.lock().restart();
    }

    /// Waits for the calls that have begun.
    pub async fn finish(&self) {
        self.calls.finish().await;
    }

    /// Counts a call that begins; returns the token that a restart cancels.
    ///
    /// A cold worker with more calls than it can carry restarts, and the call breaks as well.
    pub(super) fn begin(&self) -> CancellationToken {
        let mut state = self.lock();
        state.running += 1;
        let life = state.life.clone();
        if !state.warmth.carries(state.running.into()) {
            state.restart();
        }
        life
    }

    /// Counts a call that ended in the life `life` of the worker.
    pub(super) fn end(&self, life: &CancellationToken) {
        if life.is_cancelled() {
            return;
        }
        let mut state = self.lock();
        state.running -= 1;
        state.warmth.count_finished();
    }

    /// Records an effect, at the recorder too if there is one; returns the number of effects.
    pub(super) async fn record(&self, effect: Effect) -> Result<usize, ClientError> {
        if let Some(recorder) = self.settings.recorder {
            let endpoint = Endpoint::new(recorder, "/effects");
            self.client.send_json(Method::POST, &endpoint, &effect, RECORD_TIMEOUT).await?;
        }
        let mut state = self.lock();
        state.effects.push(effect);
        Ok(state.effects.len())
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ApplicationState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl ApplicationState {
    fn restart(&mut self) {
        self.life.cancel();
        self.life = CancellationToken::new();
        self.restarts += 1;
        self.running = 0;
        self.warmth.turn_cold();
    }
}

/// Takes one from a count of faults; returns whether there was one.
pub(super) fn strike(count: &mut u32) -> bool {
    let strikes = *count > 0;
    *count = count.saturating_sub(1);
    strikes
}
