//! Accepting connections from clients that nobody controls.

use super::bodies::BodyBudget;
use crate::supervisor::{ConnectionPermit, Connections};
use fulmarhead_lib::limits::STALL_TIME;
use log::info;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

/// Share of the memory of a process that the receive buffers of its connections may take.
const RECEIVE_SHARE: f64 = 0.3;

/// Smallest receive buffer that is requested, in bytes. It holds a head of the largest size on the
/// platform.
const MIN_RECEIVE_BYTES: u32 = 16 << 10;

/// Largest receive buffer that is requested, in bytes. The kernel's own limit is several MiB.
const MAX_RECEIVE_BYTES: u32 = 128 << 10;

/// Number of new connections that the kernel holds until they are accepted.
const BACKLOG: u32 = 1_024;

/// Time after which a connection that was accepted late in the stop is closed unless a request has
/// begun, several round trips.
const LATE_IDLE_TIME: Duration = Duration::from_millis(200);

/// Binds the address for callers of a process that may use `process_bytes` bytes of memory and
/// accepts `max_connections` connections.
///
/// The kernel holds what callers have sent and the process has not read yet. The receive buffer of
/// each connection is limited, so that this is a bounded part of the memory.
///
/// # Errors
///
/// Returns the error of the operating system if the address can't be bound.
pub fn bind_callers(
    address: SocketAddr,
    process_bytes: u64,
    max_connections: usize,
) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    let per_connection = process_bytes as f64 * RECEIVE_SHARE / max_connections.max(1) as f64;
    // Linux doubles the size for its own overhead.
    let size = (per_connection / 2.0) as u32;
    socket.set_recv_buffer_size(size.clamp(MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES))?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection of a client. While all connections are in use, requests whose bodies
/// make no progress are ended, so that other clients get their connections.
///
/// Returns `None` once `stop` is cancelled.
pub async fn accept_caller(
    connections: &Connections,
    listener: &TcpListener,
    bodies: &BodyBudget,
    stop: &CancellationToken,
) -> Option<(ConnectionPermit, TcpStream)> {
    loop {
        tokio::select! {
            biased;
            accepted = connections.accept(listener, stop) => return accepted,
            () = sleep(STALL_TIME) => {}
        }
        if !connections.is_full() {
            continue;
        }
        metrics::counter!("fulmarhead_connections_full_total").increment(1);
        match bodies.end_stalled() {
            0 => {}
            ended => info!(ended; "all connections are in use; ending stalled requests"),
        }
    }
}

/// Serves a connection that was accepted late in the stop. The token for `serve`, on which it shuts
/// down gracefully, is cancelled soon, so that the connection closes if no request comes, and else
/// with the response.
pub async fn serve_late<F, Fut>(serve: F)
where
    F: FnOnce(CancellationToken) -> Fut,
    Fut: Future<Output = ()>,
{
    let stop = CancellationToken::new();
    let _timer = AbortOnDropHandle::new(tokio::spawn({
        let stop = stop.clone();
        async move {
            sleep(LATE_IDLE_TIME).await;
            stop.cancel();
        }
    }));
    serve(stop).await;
}
