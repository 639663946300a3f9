//! State of an application worker.

use fulmarhead_runtime::http::{Client, ClientError, Endpoint};
use hyper::Method;
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

/// Longest time for the recorder to answer.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);

/// Abilities of an application worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplicationSettings {
    /// Time for one call.
    pub service_time: Duration,
    /// Calls at once.
    pub capacity: u32,
    /// Recorder that keeps the effects when the worker is killed.
    pub recorder: Option<SocketAddr>,
}

impl Default for ApplicationSettings {
    fn default() -> Self {
        Self { service_time: Duration::from_millis(10), capacity: 64, recorder: None }
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
    client: Client,
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
        Arc::new(Self { settings, client: Client::default(), state: Mutex::default() })
    }

    /// Returns all effects in their order.
    pub fn effects(&self) -> Vec<Effect> {
        self.lock().effects.clone()
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
