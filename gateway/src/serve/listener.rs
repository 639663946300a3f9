//! Connections of callers, one task for each.

use super::handle::handle;
use crate::gateway::Gateway;
use fulmarhead_runtime::supervisor::{Connections, TaskResult};
use hyper::{server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Most open connections of callers; each request needs one descriptor more, and an entry has at
/// least 4,000.
const MAX_CONNECTIONS: usize = 1_500;

/// Smallest buffer for the headers of a request that the library takes, in bytes.
const LEAST_BUFFER: usize = 8 << 10;

/// Serves callers.
#[derive(Clone)]
pub(crate) struct CallerServer {
    listener: Arc<TcpListener>,
    connections: Connections,
}

impl CallerServer {
    /// Returns a server on `listener`.
    pub(crate) fn new(listener: Arc<TcpListener>) -> Self {
        Self { listener, connections: Connections::new(MAX_CONNECTIONS) }
    }

    /// Accepts connections until `stop` is cancelled, then lets the open ones finish.
    pub(crate) async fn run(self, gateway: Arc<Gateway>, stop: CancellationToken) -> TaskResult {
        while let Some((slot, stream)) = self.connections.accept(&self.listener, &stop).await {
            let gateway = Arc::clone(&gateway);
            self.connections.spawn(slot, |stop| serve(gateway, stream, stop));
        }
        self.connections.finish().await;
        Ok(())
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, stop: CancellationToken) {
    // Events are small and each has to leave at once.
    if let Err(error) = stream.set_nodelay(true) {
        debug!(error:%; "connection failed");
        return;
    }
    let limits = gateway.limits();
    let service = service_fn(move |request| handle(Arc::clone(&gateway), request));
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
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
