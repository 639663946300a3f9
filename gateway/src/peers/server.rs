//! Server for the calls of other entries.

use super::protocol::{ExchangeRequest, ExchangeResponse, Peering};
use crate::gateway::Gateway;
use fulmarhead_runtime::{
    control::control_transport,
    supervisor::{Connections, TaskResult},
};
use futures::StreamExt;
use std::sync::Arc;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Maximum number of open connections from other entries, above the number of entries for which the
/// system is designed.
const MAX_CONNECTIONS: usize = 500;

#[derive(Clone)]
struct PeeringHandler(Arc<Gateway>);

impl Peering for PeeringHandler {
    async fn exchange(self, _: Context, request: ExchangeRequest) -> ExchangeResponse {
        self.0.handle_exchange(request)
    }
}

/// Accepts connections from other entries and runs one task for each.
#[derive(Clone)]
pub(crate) struct PeerServer {
    listener: Arc<TcpListener>,
    connections: Connections,
}

impl PeerServer {
    /// Returns a server for the connections of `listener`.
    pub(crate) fn new(listener: Arc<TcpListener>) -> Self {
        Self { listener, connections: Connections::new(MAX_CONNECTIONS) }
    }

    /// Accepts connections until `stop` is cancelled, then waits for their tasks to end.
    pub(crate) async fn run(self, gateway: Arc<Gateway>, stop: CancellationToken) -> TaskResult {
        while let Some((permit, stream)) = self.connections.accept(&self.listener, &stop).await {
            let handler = PeeringHandler(Arc::clone(&gateway));
            self.connections.spawn(permit, |stop| serve_connection(handler, stream, stop));
        }
        self.connections.finish().await;
        Ok(())
    }
}

async fn serve_connection(handler: PeeringHandler, stream: TcpStream, stop: CancellationToken) {
    let Ok(transport) = control_transport(stream) else { return };
    let calls = BaseChannel::with_defaults(transport).execute(handler.serve());
    tokio::select! {
        () = stop.cancelled() => {}
        () = calls.for_each(|call| call) => {}
    }
}
