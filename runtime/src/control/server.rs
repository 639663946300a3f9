//! Server side of the control protocol.

use super::{MAX_FRAME_BYTES, protocol::Control, transport::control_transport};
use crate::supervisor::{Connections, TaskResult};
use fulmarhead_lib::{
    config::Bundle,
    control::{ConfigVersion, ExchangeReply, LeaseReply, LeaseRequest, Report, SyncReply},
    ids::{LeaseId, Revision},
};
use futures::StreamExt;
use log::debug;
use std::sync::Arc;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Maximum number of open control connections.
const MAX_CONNECTIONS: usize = 2_000;

/// Handles the calls of the control protocol. The methods must not block.
pub trait ControlHandler: Send + Sync + 'static {
    /// Compares configuration revisions and returns the local configuration if it is newer.
    fn sync(&self, version: ConfigVersion) -> SyncReply;

    /// Adopts an offered configuration if it is valid and newer, and returns the active
    /// revision afterwards.
    fn adopt(&self, bundle: Bundle) -> Revision;

    /// Returns the state of an agent, or `None` from an entry.
    fn report(&self) -> Option<Report>;

    /// Reserves engine memory under the given lease ID.
    fn reserve(&self, lease: LeaseId, request: LeaseRequest) -> LeaseReply;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> LeaseReply;

    /// Releases a lease and returns whether it was known.
    fn release(&self, lease: LeaseId) -> bool;
}

#[derive(Clone)]
struct HandlerService(Arc<dyn ControlHandler>);

impl Control for HandlerService {
    async fn sync(self, _: Context, version: ConfigVersion) -> SyncReply {
        self.0.sync(version)
    }

    async fn exchange(self, _: Context, version: ConfigVersion) -> ExchangeReply {
        ExchangeReply { sync: self.0.sync(version), report: self.0.report() }
    }

    async fn adopt(self, _: Context, bundle: Bundle) -> Revision {
        self.0.adopt(bundle)
    }

    async fn report(self, _: Context) -> Option<Report> {
        self.0.report()
    }

    async fn reserve(self, _: Context, lease: LeaseId, request: LeaseRequest) -> LeaseReply {
        self.0.reserve(lease, request)
    }

    async fn renew(self, _: Context, lease: LeaseId) -> LeaseReply {
        self.0.renew(lease)
    }

    async fn release(self, _: Context, lease: LeaseId) -> bool {
        self.0.release(lease)
    }
}

/// Server of control connections with one task per connection.
#[derive(Clone)]
pub struct ControlServer {
    listener: Arc<TcpListener>,
    connections: Connections,
}

impl ControlServer {
    /// Returns a server that accepts connections on `listener`.
    pub fn new(listener: Arc<TcpListener>) -> Self {
        Self { listener, connections: Connections::new(MAX_CONNECTIONS) }
    }

    /// Serves calls with `handler` until `stop` is cancelled, then closes the open connections.
    pub async fn run(
        self,
        handler: Arc<dyn ControlHandler>,
        stop: CancellationToken,
    ) -> TaskResult {
        while let Some((permit, stream)) = self.connections.accept(&self.listener, &stop).await {
            let service = HandlerService(Arc::clone(&handler));
            self.connections.spawn(permit, |stop| serve_connection(service, stream, stop));
        }
        self.connections.finish().await;
        Ok(())
    }
}

/// Serves the calls of one connection in the order of their arrival.
async fn serve_connection(service: HandlerService, stream: TcpStream, stop: CancellationToken) {
    // The connection is dropped if its options can't be set, as when it is already closed.
    let Ok(transport) = control_transport(stream, MAX_FRAME_BYTES) else { return };
    let calls = BaseChannel::with_defaults(transport).execute(service.serve());
    let responses = calls.for_each(|call| call);
    tokio::select! {
        () = stop.cancelled() => {}
        () = responses => debug!("control connection was closed by the peer or failed"),
    }
}
