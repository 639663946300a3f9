//! Current fault mode of a proxy, and the connections whose data it holds back.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::watch;

/// Number of a connection in the order of acceptance, counted from 0.
pub type ConnectionId = u64;

/// Fault mode of a proxy, applied to all its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all data without a fault.
    Pass,
    /// Closes all connections and the listener, so that new connections are refused.
    Cut,
    /// Accepts connections and keeps them open, but forwards no data.
    HalfOpen,
    /// Forwards each chunk of data after this delay.
    Delay(Duration),
    /// Forwards at most this many bytes per second, per connection and direction.
    Throttle(u32),
    /// Forwards requests and holds back responses, until a connection is released.
    HoldResponses,
}

/// State that the connection tasks watch.
#[derive(Clone, Debug, PartialEq, Eq)]
struct State {
    mode: Mode,
    /// Number of cuts so far; with it, connections also notice a cut that is already over.
    cut_count: u64,
    released: BTreeSet<ConnectionId>,
}

/// Gate that a test controls and at which the connection tasks wait before they forward data.
#[derive(Clone, Debug)]
pub(super) struct Gate {
    state: watch::Sender<State>,
    held: Arc<Mutex<BTreeSet<ConnectionId>>>,
}

/// Connection and the number of cuts at the time of its acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AcceptedConnection {
    pub(super) id: ConnectionId,
    /// Number of cuts before the connection was accepted.
    cut_count: u64,
}

/// Direction in which data is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// From the client to the server.
    Request,
    /// From the server to the client.
    Response,
}

impl Gate {
    pub(super) fn new(mode: Mode) -> Self {
        let state = State { mode, cut_count: 0, released: BTreeSet::new() };
        Self { state: watch::Sender::new(state), held: Arc::default() }
    }

    pub(super) fn set_mode(&self, mode: Mode) {
        self.state.send_modify(|state| {
            state.mode = mode;
            state.cut_count += u64::from(mode == Mode::Cut);
            state.released.clear();
        });
    }

    pub(super) fn accept(&self, id: ConnectionId) -> AcceptedConnection {
        AcceptedConnection { id, cut_count: self.cut_count() }
    }

    pub(super) fn cut_count(&self) -> u64 {
        self.state.borrow().cut_count
    }

    pub(super) fn release(&self, connection: ConnectionId) {
        self.state.send_modify(|state| {
            state.released.insert(connection);
        });
    }

    /// Returns the connections that have a response held back.
    pub(super) fn held_connections(&self) -> BTreeSet<ConnectionId> {
        self.held.lock().expect("no holder of the lock panics").clone()
    }

    /// Waits until the number of cuts exceeds `cut_count`.
    pub(super) async fn wait_cut(&self, cut_count: u64) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.cut_count > cut_count).await;
    }

    /// Waits until the mode is not [`Mode::Cut`].
    pub(super) async fn wait_open(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.mode != Mode::Cut).await;
    }

    /// Waits until data may be forwarded; returns the mode to apply to it.
    ///
    /// Returns [`Mode::Cut`] if the proxy was cut since the connection was accepted.
    pub(super) async fn wait_passable(
        &self,
        connection: AcceptedConnection,
        direction: Direction,
    ) -> Mode {
        let mut state = self.state.subscribe();
        let is_response = direction == Direction::Response;
        let is_held = |state: &State| match state.mode {
            _ if state.cut_count > connection.cut_count => false,
            Mode::HalfOpen => true,
            Mode::HoldResponses => is_response && !state.released.contains(&connection.id),
            _ => false,
        };
        if is_response && is_held(&state.borrow()) {
            self.record_held(connection.id);
        }
        let passed = state.wait_for(|state| !is_held(state)).await;
        let mode = match passed {
            Ok(state) if state.cut_count == connection.cut_count => state.mode,
            _ => Mode::Cut,
        };
        self.held.lock().expect("no holder of the lock panics").remove(&connection.id);
        mode
    }

    fn record_held(&self, connection: ConnectionId) {
        self.held.lock().expect("no holder of the lock panics").insert(connection);
    }
}
