//! Accepts callers' connections and runs one task for each.

use super::handle::handle;
use crate::gateway::Gateway;
use fulmarhead_lib::limits::connection_limit;
use fulmarhead_runtime::{
    http::{CallerStream, accept_caller, serve_late},
    supervisor::{Connections, TaskResult},
};
use hyper::{server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Maximum number of open connections from callers. Each request needs one more file descriptor,
/// and the process has at least 4,000.
const MAX_CONNECTIONS: usize = 1_500;

/// Smallest read buffer for request headers that hyper accepts.
const MIN_HEADER_BUFFER_BYTES: usize = 8 << 10;

/// Returns the maximum number of open connections from callers of a process that may use
/// `memory_bytes` bytes.
pub(crate) fn max_connections(memory_bytes: u64) -> usize {
    connection_limit(memory_bytes, MAX_CONNECTIONS)
}

/// HTTP server for callers.
#[derive(Clone)]
pub(crate) struct CallerServer {
    listener: Arc<TcpListener>,
    connections: Connections,
}

impl CallerServer {
    /// Returns a server for the connections of `listener`, in a process that may use `memory_bytes`
    /// bytes.
    pub(crate) fn new(listener: Arc<TcpListener>, memory_bytes: u64) -> Self {
        Self { listener, connections: Connections::new(max_connections(memory_bytes)) }
    }

    /// Accepts connections until `stop` is cancelled, then waits for the open ones to finish.
    pub(crate) async fn run(self, gateway: Arc<Gateway>, stop: CancellationToken) -> TaskResult {
        let (connections, listener) = (&self.connections, &self.listener);
        while let Some((permit, stream)) =
            accept_caller(connections, listener, &gateway.bodies, &stop).await
        {
            let gateway = Arc::clone(&gateway);
            self.connections.spawn(permit, |stop| serve_connection(gateway, stream, stop));
        }
        tokio::select! {
            () = connections.finish() => {}
            () = self.accept_late(&gateway) => {}
        }
        Ok(())
    }

    /// Accepts connections while the open ones finish. The kernel would accept them all the same, and
    /// their callers would wait for the end of the process.
    async fn accept_late(&self, gateway: &Arc<Gateway>) {
        let never = CancellationToken::new();
        while let Some((permit, stream)) =
            accept_caller(&self.connections, &self.listener, &gateway.bodies, &never).await
        {
            let gateway = Arc::clone(gateway);
            let serve = |stop| serve_connection(gateway, stream, stop);
            self.connections.spawn(permit, |_| serve_late(serve));
        }
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, stop: CancellationToken) {
    // Events are small, and each must be sent immediately.
    if let Err(error) = stream.set_nodelay(true) {
        debug!(error:%; "connection failed");
        return;
    }
    let limits = gateway.limits();
    let stream = TokioIo::new(CallerStream::new(stream, limits.idle_timeout));
    let service = service_fn(move |request| handle(Arc::clone(&gateway), request));
    let connection = Builder::new()
        .timer(TokioTimer::new())
        // The timeout also covers the idle time before a request.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(stream, service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(error) = result {
        debug!(error:%; "connection failed");
    }
}
