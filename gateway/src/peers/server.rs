//! Server for the calls of other entries.

use super::{
    exchange::CallerSession,
    protocol::{ExchangeRequest, ExchangeResponse, MAX_MESSAGE_BYTES, Peering},
};
use crate::gateway::Gateway;
use fulmarhead_runtime::{
    control::control_transport,
    supervisor::{Connections, TaskResult},
};
use futures::StreamExt;
use std::sync::{Arc, Mutex};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Maximum number of open connections from other entries, above the number of entries for which the
/// system is designed.
const MAX_CONNECTIONS: usize = 500;

/// Handler of the calls on one connection.
#[derive(Clone)]
struct PeeringHandler {
    gateway: Arc<Gateway>,
    session: Arc<Mutex<CallerSession>>,
}

impl Peering for PeeringHandler {
    async fn exchange(self, _: Context, request: ExchangeRequest) -> ExchangeResponse {
        let mut session = self.session.lock().expect("no holder of the lock panics");
        self.gateway.handle_exchange(request, &mut session)
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
            let gateway = Arc::clone(&gateway);
            self.connections.spawn(permit, |stop| serve_connection(gateway, stream, stop));
        }
        self.connections.finish().await;
        Ok(())
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, stop: CancellationToken) {
    let Ok(transport) = control_transport(stream, MAX_MESSAGE_BYTES) else { return };
    let session = Arc::new(Mutex::new(CallerSession::new(gateway.next_connection())));
    let handler = PeeringHandler { gateway: Arc::clone(&gateway), session: Arc::clone(&session) };
    let calls = BaseChannel::with_defaults(transport).execute(handler.serve());
    tokio::select! {
        () = stop.cancelled() => {}
        () = calls.for_each(|call| call) => {}
    }
    gateway.end_session(&session.lock().expect("no holder of the lock panics"));
}
