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
    released: BTreeSet<ConnectionId>,
}

/// Switch that a test sets and that the tasks of connections wait for.
#[derive(Clone, Debug)]
pub(super) struct Gate {
    state: watch::Sender<State>,
    held: Arc<Mutex<BTreeSet<ConnectionId>>>,
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
        let state = State { mode, released: BTreeSet::new() };
        Self { state: watch::Sender::new(state), held: Arc::default() }
    }

    pub(super) fn set(&self, mode: Mode) {
        self.state.send_replace(State { mode, released: BTreeSet::new() });
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

    /// Waits until the mode is [`Mode::Cut`], or any other mode.
    pub(super) async fn wait_cut(&self, cut: bool) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| (state.mode == Mode::Cut) == cut).await;
    }

    /// Waits until a piece may pass; returns the mode that let it pass.
    pub(super) async fn pass(&self, connection: ConnectionId, direction: Direction) -> Mode {
        let mut state = self.state.subscribe();
        let holds = |state: &State| match state.mode {
            Mode::HalfOpen => true,
            Mode::Hold => direction == Direction::Answer && !state.released.contains(&connection),
            _ => false,
        };
        let is_held = holds(&state.borrow());
        if is_held && direction == Direction::Answer {
            self.mark(connection);
        }
        let mode = state.wait_for(|state| !holds(state)).await.map(|state| state.mode);
        self.held.lock().expect("no holder of the lock panics").remove(&connection);
        mode.unwrap_or(Mode::Cut)
    }

    fn mark(&self, connection: ConnectionId) {
        self.held.lock().expect("no holder of the lock panics").insert(connection);
    }
}
