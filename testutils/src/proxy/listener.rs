//! Listener of a proxy.

use super::{
    connection,
    gate::{ConnectionId, Gate, Mode},
};
use std::{collections::BTreeSet, io, net::SocketAddr, time::Duration};
use tokio::{net::TcpListener, task::JoinSet, time::sleep};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Delay between attempts to bind the address again.
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

/// Proxy in front of one server; it stops on drop.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    gate: Gate,
    _stop: DropGuard,
}

impl Proxy {
    /// Starts a proxy that listens on `address` and forwards connections to `server`.
    ///
    /// Fails if one of them is not a loopback address, or if `address` can't be bound.
    pub async fn start(address: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        if !address.ip().is_loopback() || !server.ip().is_loopback() {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let gate = Gate::new(Mode::Pass);
        let stop = CancellationToken::new();
        tokio::spawn(listen(listener, server, gate.clone(), stop.clone()));
        Ok(Self { address, gate, _stop: stop.drop_guard() })
    }

    /// Returns the address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of all open and future connections.
    pub fn set_mode(&self, mode: Mode) {
        self.gate.set_mode(mode);
    }

    /// Returns the connections that have a response held back.
    pub fn held_connections(&self) -> BTreeSet<ConnectionId> {
        self.gate.held_connections()
    }

    /// Forwards the responses of one connection while the mode is [`Mode::HoldResponses`].
    pub fn release(&self, connection: ConnectionId) {
        self.gate.release(connection);
    }
}

/// Listens whenever the mode is not [`Mode::Cut`], until `stop` is cancelled.
async fn listen(listener: TcpListener, server: SocketAddr, gate: Gate, stop: CancellationToken) {
    let Ok(address) = listener.local_addr() else { return };
    let mut acceptor = Acceptor { server, gate: gate.clone(), next: 0 };
    let mut listener = Some(listener);
    let serve = async {
        loop {
            let cut_count = gate.cut_count();
            let bound = match listener.take() {
                Some(listener) => listener,
                None => rebind(address).await,
            };
            acceptor.run(bound, cut_count).await;
            gate.wait_open().await;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = serve => {}
    }
}

/// Binds the address of the listener again, and retries until it succeeds.
///
/// The address can still be in use: a child process that another test forks inherits the sockets
/// of this process until it executes its program.
async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(REBIND_INTERVAL).await,
        }
    }
}

/// Accepts and numbers connections.
struct Acceptor {
    server: SocketAddr,
    gate: Gate,
    next: ConnectionId,
}

impl Acceptor {
    /// Accepts connections until the number of cuts exceeds `cut_count`, then closes the listener
    /// and after it all connections.
    async fn run(&mut self, listener: TcpListener, cut_count: u64) {
        let gate = self.gate.clone();
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                () = gate.wait_cut(cut_count) => break,
                Some(_) = connections.join_next() => continue,
                accepted = listener.accept() => accepted,
            };
            let Ok((client, _)) = accepted else { continue };
            let connection = gate.accept(self.next);
            connections.spawn(connection::run(gate.clone(), connection, client, self.server));
            self.next += 1;
        }
        drop(listener);
        connections.shutdown().await;
    }
}
