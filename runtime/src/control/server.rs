//! The answering side of the control protocol.

use super::{protocol::Control, transport::wire};
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

/// Most open control connections.
const MAX_CONNECTIONS: usize = 2_000;

/// Answers the calls of the control protocol. No answer waits for anything.
pub trait Handler: Send + Sync + 'static {
    /// Compares configurations.
    fn sync(&self, stamp: ConfigVersion) -> SyncReply;

    /// Takes an offered configuration; returns the revision in force afterwards.
    fn adopt(&self, bundle: Bundle) -> Revision;

    /// Returns the state of an agent, `None` from an entry.
    fn report(&self) -> Option<Report>;

    /// Reserves engine memory.
    fn reserve(&self, lease: LeaseId, request: LeaseRequest) -> LeaseReply;

    /// Extends a lease.
    fn renew(&self, lease: LeaseId) -> LeaseReply;

    /// Ends a lease; returns whether it was known.
    fn release(&self, lease: LeaseId) -> bool;
}

#[derive(Clone)]
struct Answers(Arc<dyn Handler>);

impl Control for Answers {
    async fn sync(self, _: Context, stamp: ConfigVersion) -> SyncReply {
        self.0.sync(stamp)
    }

    async fn exchange(self, _: Context, stamp: ConfigVersion) -> ExchangeReply {
        ExchangeReply { sync: self.0.sync(stamp), report: self.0.report() }
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

/// Serves control connections, one task for each.
#[derive(Clone)]
pub struct ControlServer {
    listener: Arc<TcpListener>,
    connections: Connections,
}

impl ControlServer {
    /// Returns a server on `listener`.
    pub fn new(listener: Arc<TcpListener>) -> Self {
        Self { listener, connections: Connections::new(MAX_CONNECTIONS) }
    }

    /// Answers calls with `handler` until `stop` is cancelled.
    pub async fn run(self, handler: Arc<dyn Handler>, stop: CancellationToken) -> TaskResult {
        while let Some((slot, stream)) = self.connections.accept(&self.listener, &stop).await {
            let service = Answers(Arc::clone(&handler));
            self.connections.spawn(slot, |stop| answer(service, stream, stop));
        }
        self.connections.finish().await;
        Ok(())
    }
}

/// Answers the calls of one connection in their order.
async fn answer(service: Answers, stream: TcpStream, stop: CancellationToken) {
    let Ok(transport) = wire(stream) else { return };
    let calls = BaseChannel::with_defaults(transport).execute(service.serve());
    let answers = calls.for_each(|call| call);
    tokio::select! {
        () = stop.cancelled() => {}
        () = answers => debug!("control connection closed"),
    }
}
