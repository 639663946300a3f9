//! HTTP/1.1 and HTTP/2 servers with one task for each connection.

use crate::supervisor::{Connections, TaskResult};
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

/// Bounds of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSettings {
    /// Most open connections.
    pub connections: usize,
    /// Longest time that a sender may take for the headers.
    pub header_timeout: Duration,
    /// Largest size of all headers of a request, in bytes.
    pub max_headers: usize,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self { connections: 10_000, header_timeout: Duration::from_secs(5), max_headers: 32 << 10 }
    }
}

/// A server on one listener.
#[derive(Clone, Debug)]
pub struct Server {
    listener: Arc<TcpListener>,
    router: Router,
    builder: Builder<TokioExecutor>,
    connections: Connections,
}

impl Server {
    /// Returns a server that answers the connections of `listener` with `router`.
    pub fn new(listener: Arc<TcpListener>, router: Router, settings: ServerSettings) -> Self {
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(settings.header_timeout)
            .max_buf_size(settings.max_headers.max(8 << 10));
        builder.http2().timer(TokioTimer::new()).max_header_list_size(settings.max_headers as u32);
        let connections = Connections::new(settings.connections);
        Self { listener, router, builder, connections }
    }

    /// Accepts connections until `stop` is cancelled, then lets the open ones finish.
    pub async fn run(self, stop: CancellationToken) -> TaskResult {
        while let Some((slot, stream)) = self.connections.accept(&self.listener, &stop).await {
            self.connections.spawn(slot, |stop| self.serve(stream, stop));
        }
        self.connections.finish().await;
        Ok(())
    }

    fn serve(
        &self,
        stream: TcpStream,
        stop: CancellationToken,
    ) -> impl Future<Output = ()> + Send + 'static {
        let builder = self.builder.clone();
        let service = TowerToHyperService::new(self.router.clone());
        async move {
            // Tokens are small and each has to leave at once.
            let _ = stream.set_nodelay(true);
            let connection = builder.serve_connection(TokioIo::new(stream), service);
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
}
