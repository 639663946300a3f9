//! Client side of the control protocol.

use super::{MAX_FRAME_BYTES, protocol::ControlClient, transport::control_transport};
use fulmarhead_lib::{
    clock::SharedClock,
    config::Bundle,
    control::{ConfigVersion, ExchangeReply, LeaseReply, LeaseRequest, Report, SyncReply},
    ids::{LeaseId, Revision},
};
use std::{io, net::SocketAddr, time::Duration};
use tarpc::{
    client::{Config, RpcError},
    context::{self, Context},
};
use tokio::{net::TcpStream, time::timeout};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reasons why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection could not be opened.
    #[error("connection failed: {0}")]
    Connect(#[from] io::Error),
    /// The connection was not opened within the timeout.
    #[error("no connection within {0:?}")]
    ConnectTimeout(Duration),
    /// The call failed or was not answered within its deadline.
    #[error(transparent)]
    Call(#[from] RpcError),
}

/// An open control connection to another process.
#[derive(Clone)]
pub struct Peer {
    client: ControlClient,
    clock: SharedClock,
}

impl Peer {
    /// Connects to the process at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be opened within the timeout.
    pub async fn connect(address: SocketAddr, clock: SharedClock) -> Result<Self, PeerError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| PeerError::ConnectTimeout(CONNECT_TIMEOUT))??;
        let client =
            ControlClient::new(Config::default(), control_transport(stream, MAX_FRAME_BYTES)?)
                .spawn();
        Ok(Self { client, clock })
    }

    /// Sends the version of the local configuration and receives how it compares with the peer's.
    pub async fn sync(&self, version: ConfigVersion) -> Result<SyncReply, PeerError> {
        Ok(self.client.sync(self.context(), version).await?)
    }

    /// Combines [`Self::sync`] and [`Self::report`] in one call.
    pub async fn exchange(&self, version: ConfigVersion) -> Result<ExchangeReply, PeerError> {
        Ok(self.client.exchange(self.context(), version).await?)
    }

    /// Offers a configuration and returns the active revision of the peer afterwards.
    pub async fn adopt(&self, bundle: Bundle) -> Result<Revision, PeerError> {
        Ok(self.client.adopt(self.context(), bundle).await?)
    }

    /// Reads the state of an agent; an entry returns `None`.
    pub async fn report(&self) -> Result<Option<Report>, PeerError> {
        Ok(self.client.report(self.context()).await?)
    }

    /// Reserves engine memory under the given lease ID.
    pub async fn reserve(
        &self,
        lease: LeaseId,
        request: LeaseRequest,
    ) -> Result<LeaseReply, PeerError> {
        Ok(self.client.reserve(self.context(), lease, request).await?)
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: LeaseId) -> Result<LeaseReply, PeerError> {
        Ok(self.client.renew(self.context(), lease).await?)
    }

    /// Releases a lease and returns whether the peer knew it.
    pub async fn release(&self, lease: LeaseId) -> Result<bool, PeerError> {
        Ok(self.client.release(self.context(), lease).await?)
    }

    fn context(&self) -> Context {
        let mut context = context::current();
        context.deadline = self.clock.now() + CALL_TIMEOUT;
        context
    }
}
