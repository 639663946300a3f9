//! Memory that single bodies hold, and the state that they share.

use super::budget::BodyReadError;
use fulmarhead_lib::{
    clock::SharedClock,
    ids::BodyId,
    limits::{BodyKind, BodyMemory, Growth, STALL_TIME},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::{sync::Notify, time::sleep};
use tokio_util::sync::CancellationToken;

/// State that the bodies of a process share.
pub(super) struct Shared {
    clock: SharedClock,
    state: Mutex<BudgetState>,
    /// Notified when memory was released.
    released: Notify,
}

struct BudgetState {
    memory: BodyMemory,
    /// Tokens that end the bodies being received.
    tokens: BTreeMap<BodyId, CancellationToken>,
}

impl BudgetState {
    /// Tells the readers of `bodies` to end them.
    fn cancel(&self, bodies: &[BodyId]) {
        bodies.iter().filter_map(|id| self.tokens.get(id)).for_each(CancellationToken::cancel);
    }
}

impl Shared {
    /// Returns the state without any body.
    pub(super) fn new(memory: BodyMemory, clock: SharedClock) -> Self {
        let state = Mutex::new(BudgetState { memory, tokens: BTreeMap::new() });
        Self { clock, state, released: Notify::new() }
    }

    /// Returns the memory that all bodies hold, in bytes.
    pub(super) fn held(&self) -> usize {
        self.lock().memory.held()
    }

    /// Ends the bodies that have made no progress for a time, and returns their number.
    pub(super) fn end_stalled(&self) -> usize {
        let mut state = self.lock();
        let ended = state.memory.end_all_stalled(self.clock.now());
        state.cancel(&ended);
        ended.len()
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory that one body holds. It is released on drop.
pub(super) struct Claim {
    shared: Arc<Shared>,
    id: BodyId,
    /// Cancelled if the body has to release its memory.
    pub(super) token: CancellationToken,
}

impl Claim {
    /// Registers a body that is about to be received.
    pub(super) fn new(shared: &Arc<Shared>, kind: BodyKind) -> Self {
        let shared = Arc::clone(shared);
        let token = CancellationToken::new();
        let mut state = shared.lock();
        let id = state.memory.begin(kind, shared.clock.now());
        state.tokens.insert(id, token.clone());
        drop(state);
        Self { shared, id, token }
    }

    /// Waits until the body could grow by `bytes`, without giving it the memory.
    pub(super) async fn wait_room(&self, bytes: usize) -> Result<(), BodyReadError> {
        let (shared, id) = (&self.shared, self.id);
        self.wait(|memory| memory.check_room(id, bytes, shared.clock.now())).await
    }

    /// Waits until the body is given `bytes` bytes more.
    pub(super) async fn grow(&self, bytes: usize) -> Result<(), BodyReadError> {
        let (shared, id) = (&self.shared, self.id);
        self.wait(|memory| memory.grow(id, bytes, shared.clock.now())).await
    }

    /// Gives the body `bytes` bytes more, if they are free now.
    pub(super) fn try_grow(&self, bytes: usize) -> Result<(), BodyReadError> {
        let (shared, id) = (&self.shared, self.id);
        match self.decide(|memory| memory.grow(id, bytes, shared.clock.now())) {
            Growth::Granted => Ok(()),
            Growth::Refused | Growth::Wait(_) => Err(BodyReadError::NoMemory),
        }
    }

    async fn wait(&self, decide: impl Fn(&mut BodyMemory) -> Growth) -> Result<(), BodyReadError> {
        loop {
            let released = self.shared.released.notified();
            tokio::pin!(released);
            // From here on no release is missed.
            released.as_mut().enable();
            match self.decide(&decide) {
                Growth::Granted => return Ok(()),
                Growth::Refused => return Err(BodyReadError::NoMemory),
                Growth::Wait(_) => {}
            }
            tokio::select! {
                () = self.token.cancelled() => return Err(BodyReadError::Stalled),
                () = released => {}
                // Decides again, as others may be ended now for a body that has waited.
                () = sleep(STALL_TIME) => {}
            }
        }
    }

    /// Decides about the growth of the body, and ends the bodies that have to make room.
    fn decide(&self, decide: impl Fn(&mut BodyMemory) -> Growth) -> Growth {
        let mut state = self.shared.lock();
        let growth = decide(&mut state.memory);
        if let Growth::Wait(ended) = &growth {
            state.cancel(ended);
        }
        record_held(&state.memory);
        growth
    }

    /// Records that the body has made progress.
    pub(super) fn record_progress(&self) {
        self.shared.lock().memory.record_progress(self.id, self.shared.clock.now());
    }

    /// Records that the body is complete with `bytes` bytes, and releases the rest.
    pub(super) fn complete(&self, bytes: usize) {
        let mut state = self.shared.lock();
        state.memory.complete(self.id, bytes);
        state.tokens.remove(&self.id);
        record_held(&state.memory);
        drop(state);
        self.shared.released.notify_waiters();
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.memory.release(self.id);
        state.tokens.remove(&self.id);
        record_held(&state.memory);
        drop(state);
        self.shared.released.notify_waiters();
    }
}

fn record_held(memory: &BodyMemory) {
    metrics::gauge!("fulmarhead_body_held_bytes").set(memory.held() as f64);
}
