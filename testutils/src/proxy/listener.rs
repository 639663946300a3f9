//! The listener of a proxy.

use super::{
    connection,
    gate::{ConnectionId, Gate, Mode},
};
use std::{collections::BTreeSet, io, net::SocketAddr, time::Duration};
use tokio::{net::TcpListener, task::JoinSet, time::sleep};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Pause before an address is bound again.
const BIND_PAUSE: Duration = Duration::from_millis(5);

/// A proxy in front of one server; it ends when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    gate: Gate,
    _stop: DropGuard,
}

impl Proxy {
    /// Listens at `address`, a loopback address, and passes connections on to `server`.
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

    /// Returns the address for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches the mode of all open and future connections.
    pub fn set(&self, mode: Mode) {
        self.gate.set(mode);
    }

    /// Returns the connections of which an answer is held back.
    pub fn held(&self) -> BTreeSet<ConnectionId> {
        self.gate.held()
    }

    /// Lets the answers of one connection pass while the mode is [`Mode::Hold`].
    pub fn release(&self, connection: ConnectionId) {
        self.gate.release(connection);
    }
}

/// Listens whenever the mode is not [`Mode::Cut`], until `stop` is cancelled.
async fn listen(listener: TcpListener, server: SocketAddr, gate: Gate, stop: CancellationToken) {
    let Ok(address) = listener.local_addr() else { return };
    let mut accepting = Accepting { server, gate: gate.clone(), next: 0 };
    let mut listener = Some(listener);
    let serve = async {
        loop {
            let cuts = gate.cuts();
            let bound = match listener.take() {
                Some(listener) => listener,
                None => bind_again(address).await,
            };
            accepting.run(bound, cuts).await;
            gate.wait_open().await;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = serve => {}
    }
}

/// Binds an address that was in use a moment ago.
///
/// A program that another test starts has the sockets of this process until it is executed.
async fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(BIND_PAUSE).await,
        }
    }
}

/// Accepts connections and numbers them.
struct Accepting {
    server: SocketAddr,
    gate: Gate,
    next: ConnectionId,
}

impl Accepting {
    /// Accepts until the proxy was cut more often than `cuts` times, then closes the listener and
    /// after it all connections.
    async fn run(&mut self, listener: TcpListener, cuts: u64) {
        let gate = self.gate.clone();
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                () = gate.wait_cut(cuts) => break,
                Some(_) = connections.join_next() => continue,
                accepted = listener.accept() => accepted,
            };
            let Ok((client, _)) = accepted else { continue };
            let passage = gate.enter(self.next);
            connections.spawn(connection::run(gate.clone(), passage, client, self.server));
            self.next += 1;
        }
        drop(listener);
        connections.shutdown().await;
    }
}
