//! State, faults and recorded effects of an application worker.

use crate::cold::{ColdSettings, WarmupState};
use fulmarhead_runtime::{
    http::{CallLimits, Client, ClientError, Endpoint},
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

/// Limits on a request to the recorder.
const RECORD_LIMITS: CallLimits = CallLimits { time: Duration::from_secs(2), bytes: 4 << 10 };

/// Performance model of an application worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplicationSettings {
    /// Execution time of one call.
    pub service_time: Duration,
    /// Maximum number of concurrent calls; further calls are queued.
    pub capacity: u32,
    /// Address of a recorder that also stores the effects, so that they survive the worker.
    pub recorder: Option<SocketAddr>,
    /// Capacity of the worker while it is cold.
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

/// Injected faults; each count is decremented by a call that the fault applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ApplicationFaults {
    /// Number of calls whose connection is aborted without an effect.
    pub before_effect: u32,
    /// Number of calls whose connection is aborted after their effect.
    pub after_effect: u32,
    /// Additional execution time of each call, in milliseconds.
    pub slow_ms: u64,
}

/// Effect of a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Idempotency key of the call, empty if it had none.
    pub key: String,
    /// Method and path of the call.
    pub call: String,
    /// Body of the call.
    pub body: String,
}

/// Simulated application worker that records the effect of each call.
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
    warmup: WarmupState,
    /// Token of the current incarnation; a restart cancels it, which aborts all calls.
    incarnation: CancellationToken,
}

impl Application {
    /// Returns a newly started worker without effects and faults.
    pub fn new(settings: ApplicationSettings) -> Arc<Self> {
        let state = ApplicationState {
            faults: ApplicationFaults::default(),
            running: 0,
            restarts: 0,
            effects: Vec::new(),
            warmup: WarmupState::new(settings.cold),
            incarnation: CancellationToken::new(),
        };
        Arc::new(Self {
            settings,
            calls: Connections::new(settings.capacity as usize),
            client: Client::default(),
            state: Mutex::new(state),
        })
    }

    /// Returns all recorded effects in the order of recording.
    pub fn effects(&self) -> Vec<Effect> {
        self.lock().effects.clone()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: ApplicationFaults) {
        self.lock().faults = faults;
    }

    /// Makes the worker cold again, without a restart.
    pub fn reset_warmup(&self) {
        self.lock().warmup.reset();
    }

    /// Restarts the worker: aborts all calls, so that those without an effect never get one.
    ///
    /// Recorded effects are kept.
    pub fn restart(&self) {
        self.lock().restart();
    }

    /// Waits until the calls that have begun are complete.
    pub async fn finish_calls(&self) {
        self.calls.finish().await;
    }

    /// Counts a call that begins; returns the token of the incarnation, which a restart cancels.
    ///
    /// If a cold worker then has more calls than it can serve, it restarts, which aborts this call
    /// as well.
    pub(super) fn begin_call(&self) -> CancellationToken {
        let mut state = self.lock();
        state.running += 1;
        let incarnation = state.incarnation.clone();
        if !state.warmup.can_serve(state.running.into()) {
            state.restart();
        }
        incarnation
    }

    /// Counts the end of a call; ignored if the worker restarted since the call began.
    pub(super) fn end_call(&self, incarnation: &CancellationToken) {
        if incarnation.is_cancelled() {
            return;
        }
        let mut state = self.lock();
        state.running -= 1;
        state.warmup.count_finished();
    }

    /// Records an effect, first at the recorder if there is one; returns the number of effects.
    ///
    /// Fails if the recorder can't be reached; the effect is then not recorded here.
    pub(super) async fn record_effect(&self, effect: Effect) -> Result<usize, ClientError> {
        if let Some(recorder) = self.settings.recorder {
            let endpoint = Endpoint::new(recorder, "/effects");
            self.client.send_json(Method::POST, &endpoint, &effect, RECORD_LIMITS).await?;
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
        self.incarnation.cancel();
        self.incarnation = CancellationToken::new();
        self.restarts += 1;
        self.running = 0;
        self.warmup.reset();
    }
}

/// Decrements the count of a fault; returns whether the fault applies to the current call.
pub(super) fn take_fault(count: &mut u32) -> bool {
    let applies = *count > 0;
    *count = count.saturating_sub(1);
    applies
}
