//! Answers the calls of other entries.

use super::protocol::{Answer, Hello, Peering};
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

/// Most open connections of other entries, above the number of entries of the design size.
const MAX_CONNECTIONS: usize = 500;

#[derive(Clone)]
struct Answers(Arc<Gateway>);

impl Peering for Answers {
    async fn exchange(self, _: Context, hello: Hello) -> Answer {
        self.0.answer(hello)
    }
}

/// Serves connections of other entries, one task for each.
#[derive(Clone)]
pub(crate) struct PeerServer {
    listener: Arc<TcpListener>,
    connections: Connections,
}

impl PeerServer {
    /// Returns a server on `listener`.
    pub(crate) fn new(listener: Arc<TcpListener>) -> Self {
        Self { listener, connections: Connections::new(MAX_CONNECTIONS) }
    }

    /// Answers calls until `stop` is cancelled.
    pub(crate) async fn run(self, gateway: Arc<Gateway>, stop: CancellationToken) -> TaskResult {
        while let Some((slot, stream)) = self.connections.accept(&self.listener, &stop).await {
            let answers = Answers(Arc::clone(&gateway));
            self.connections.spawn(slot, |stop| answer(answers, stream, stop));
        }
        self.connections.finish().await;
        Ok(())
    }
}

async fn answer(answers: Answers, stream: TcpStream, stop: CancellationToken) {
    let Ok(transport) = control_transport(stream) else { return };
    let calls = BaseChannel::with_defaults(transport).execute(answers.serve());
    tokio::select! {
        () = stop.cancelled() => {}
        () = calls.for_each(|call| call) => {}
    }
}
