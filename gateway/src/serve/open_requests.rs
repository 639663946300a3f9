//! Requests of callers that are in progress, each with the stage that it has reached.

use crate::gateway::Gateway;
use fulmarhead_lib::clock::SharedClock;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use strum::{Display, IntoStaticStr};

/// Number of a request in progress, unique within one gateway.
type OpenId = u64;

/// What a request in progress waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Stage {
    /// The rest of its body.
    Receiving,
    /// A target that can take it; none has it.
    Waiting,
    /// The head of a target's response.
    Sent,
    /// The rest of a target's response.
    Responding,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct OpenRecord {
    /// Identifier that the caller chose.
    pub(crate) request: String,
    pub(crate) stage: Stage,
    received_at: Instant,
}

/// The requests in progress of one gateway.
pub(crate) struct OpenRequests {
    clock: SharedClock,
    state: Mutex<OpenState>,
}

#[derive(Default)]
struct OpenState {
    last_id: OpenId,
    by_id: BTreeMap<OpenId, OpenRecord>,
}

impl OpenRequests {
    /// Returns the state without any request.
    pub(crate) fn new(clock: SharedClock) -> Self {
        Self { clock, state: Mutex::default() }
    }

    /// Returns the requests in progress, each with the time since it was received.
    pub(crate) fn list(&self) -> Vec<(OpenRecord, Duration)> {
        let now = self.clock.now();
        let state = self.lock();
        let records = state
            .by_id
            .values()
            .map(|record| (record.clone(), now.saturating_duration_since(record.received_at)));
        records.collect()
    }

    /// Returns the number of requests in each stage that has any.
    pub(crate) fn count_stages(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for record in self.lock().by_id.values() {
            *counts.entry(record.stage.into()).or_default() += 1;
        }
        counts
    }

    fn lock(&self) -> MutexGuard<'_, OpenState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that counts as in progress until this is dropped.
pub(super) struct OpenRequest {
    gateway: Arc<Gateway>,
    id: OpenId,
}

impl OpenRequest {
    /// Registers a request whose head has arrived.
    pub(super) fn begin(gateway: &Arc<Gateway>, request: &str) -> Self {
        let received_at = gateway.clock.now();
        let record =
            OpenRecord { request: request.to_owned(), stage: Stage::Receiving, received_at };
        let mut state = gateway.open_requests.lock();
        state.last_id += 1;
        let id = state.last_id;
        state.by_id.insert(id, record);
        drop(state);
        Self { gateway: Arc::clone(gateway), id }
    }

    /// Records that the request has reached `stage`.
    pub(super) fn set_stage(&self, stage: Stage) {
        if let Some(record) = self.gateway.open_requests.lock().by_id.get_mut(&self.id) {
            record.stage = stage;
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.gateway.open_requests.lock().by_id.remove(&self.id);
    }
}
