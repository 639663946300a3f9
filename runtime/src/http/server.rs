//! HTTP/1.1 and HTTP/2 server with one task per connection.

use super::{
    accept::{accept_caller, serve_late},
    bodies::BodyBudget,
    caller_stream::CallerStream,
};
use crate::supervisor::{ConnectionPermit, Connections, TaskResult};
use axum::Router;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto::Builder,
    service::TowerToHyperService,
};
use log::debug;
use std::{sync::Arc, time::Duration};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Limits of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSettings {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Timeout for receiving the headers of a request.
    pub header_timeout: Duration,
    /// Maximum total size of the headers of a request, in bytes; at least 8 KiB for
    /// HTTP/1.
    pub header_bytes: usize,
    /// Time after which a connection is closed whose client takes no bytes of a response.
    pub write_timeout: Duration,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            header_timeout: Duration::from_secs(5),
            header_bytes: 32 << 10,
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// HTTP server on a single listener.
#[derive(Clone, Debug)]
pub struct Server {
    listener: Arc<TcpListener>,
    router: Router,
    builder: Builder<TokioExecutor>,
    connections: Connections,
    write_timeout: Duration,
    /// Memory for the bodies that the router reads, if it has any.
    bodies: Option<BodyBudget>,
}

impl Server {
    /// Returns a server that serves the connections of `listener` with `router`.
    pub fn new(listener: Arc<TcpListener>, router: Router, settings: ServerSettings) -> Self {
        let mut builder = Builder::new(TokioExecutor::new());
        // hyper panics if the buffer is smaller than 8 KiB.
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(settings.header_timeout)
            .max_buf_size(settings.header_bytes.max(8 << 10));
        builder.http2().timer(TokioTimer::new()).max_header_list_size(settings.header_bytes as u32);
        let connections = Connections::new(settings.max_connections);
        let write_timeout = settings.write_timeout;
        Self { listener, router, builder, connections, write_timeout, bodies: None }
    }

    /// Sets the memory for the bodies that the router reads. Those that make no progress are ended
    /// while all connections are in use.
    pub fn with_bodies(self, bodies: BodyBudget) -> Self {
        Self { bodies: Some(bodies), ..self }
    }

    /// Serves connections until `stop` is cancelled, then shuts down the open ones gracefully and
    /// waits for their end.
    pub async fn run(self, stop: CancellationToken) -> TaskResult {
        while let Some((permit, stream)) = self.accept(&stop).await {
            self.connections.spawn(permit, |stop| self.clone().serve(stream, stop));
        }
        tokio::select! {
            () = self.connections.finish() => {}
            () = self.accept_late() => {}
        }
        Ok(())
    }

    /// Accepts connections while the open ones finish. The kernel would accept them all the same, and
    /// their clients would wait for the end of the process.
    async fn accept_late(&self) {
        let never = CancellationToken::new();
        while let Some((permit, stream)) = self.accept(&never).await {
            let server = self.clone();
            let serve = move |stop| server.serve(stream, stop);
            self.connections.spawn(permit, |_| serve_late(serve));
        }
    }

    async fn accept(&self, stop: &CancellationToken) -> Option<(ConnectionPermit, TcpStream)> {
        match &self.bodies {
            Some(bodies) => accept_caller(&self.connections, &self.listener, bodies, stop).await,
            None => self.connections.accept(&self.listener, stop).await,
        }
    }

    async fn serve(self, stream: TcpStream, stop: CancellationToken) {
        let service = TowerToHyperService::new(self.router);
        // Streamed tokens are small and must be sent without delay.
        let _ = stream.set_nodelay(true);
        let stream = TokioIo::new(CallerStream::new(stream, self.write_timeout));
        let connection = self.builder.serve_connection(stream, service);
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
}
