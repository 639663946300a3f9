//! What a proxy does to its connections at the moment.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::watch;

/// Number of a connection, in the order of acceptance.
pub type ConnectionId = u64;

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    Pass,
    /// Closes all connections and the listener, so that new connections are refused.
    Cut,
    /// Accepts connections and keeps them, but delivers nothing further.
    HalfOpen,
    /// Passes each piece on after this time.
    Delay(Duration),
    /// Passes on at most this many bytes a second, per connection and direction.
    Throttle(u32),
    /// Passes on what clients send, and holds back what the server answers.
    Hold,
}

/// Mode and released connections, as the tasks of connections see them.
#[derive(Clone, Debug, PartialEq, Eq)]
struct State {
    mode: Mode,
    /// How often the proxy was cut, so that a short cut ends connections as well.
    cuts: u64,
    released: BTreeSet<ConnectionId>,
}

/// Switch that a test sets and that the tasks of connections wait for.
#[derive(Clone, Debug)]
pub(super) struct Gate {
    state: watch::Sender<State>,
    held: Arc<Mutex<BTreeSet<ConnectionId>>>,
}

/// One connection as the gate knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Passage {
    pub(super) id: ConnectionId,
    /// Cuts before the connection.
    cuts: u64,
}

/// Direction of a piece of data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// From the client to the server.
    Request,
    /// From the server to the client.
    Answer,
}

impl Gate {
    pub(super) fn new(mode: Mode) -> Self {
        let state = State { mode, cuts: 0, released: BTreeSet::new() };
        Self { state: watch::Sender::new(state), held: Arc::default() }
    }

    pub(super) fn set(&self, mode: Mode) {
        self.state.send_modify(|state| {
            state.mode = mode;
            state.cuts += u64::from(mode == Mode::Cut);
            state.released.clear();
        });
    }

    pub(super) fn enter(&self, id: ConnectionId) -> Passage {
        Passage { id, cuts: self.cuts() }
    }

    pub(super) fn cuts(&self) -> u64 {
        self.state.borrow().cuts
    }

    pub(super) fn release(&self, connection: ConnectionId) {
        self.state.send_modify(|state| {
            state.released.insert(connection);
        });
    }

    /// Returns the connections of which an answer is held back.
    pub(super) fn held(&self) -> BTreeSet<ConnectionId> {
        self.held.lock().expect("no holder of the lock panics").clone()
    }

    /// Waits until the proxy was cut more often than `cuts` times.
    pub(super) async fn wait_cut(&self, cuts: u64) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.cuts > cuts).await;
    }

    /// Waits until the mode is another one than [`Mode::Cut`].
    pub(super) async fn wait_open(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.mode != Mode::Cut).await;
    }

    /// Waits until a piece may pass; returns the mode that let it pass.
    pub(super) async fn pass(&self, passage: Passage, direction: Direction) -> Mode {
        let mut state = self.state.subscribe();
        let is_answer = direction == Direction::Answer;
        let holds = |state: &State| match state.mode {
            _ if state.cuts > passage.cuts => false,
            Mode::HalfOpen => true,
            Mode::Hold => is_answer && !state.released.contains(&passage.id),
            _ => false,
        };
        if is_answer && holds(&state.borrow()) {
            self.mark(passage.id);
        }
        let passed = state.wait_for(|state| !holds(state)).await;
        let mode = match passed {
            Ok(state) if state.cuts == passage.cuts => state.mode,
            _ => Mode::Cut,
        };
        self.held.lock().expect("no holder of the lock panics").remove(&passage.id);
        mode
    }

    fn mark(&self, connection: ConnectionId) {
        self.held.lock().expect("no holder of the lock panics").insert(connection);
    }
}
