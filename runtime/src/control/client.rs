//! The calling side of the control protocol.

use super::{protocol::ControlClient, transport::wire};
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

/// Longest time for a connection to be set up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection could not be set up.
    #[error("connection failed: {0}")]
    Connect(#[from] io::Error),
    /// The connection was not set up in time.
    #[error("no connection within {0:?}")]
    ConnectTimeout(Duration),
    /// The call failed or was not answered in time.
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
    pub async fn connect(address: SocketAddr, clock: SharedClock) -> Result<Self, PeerError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| PeerError::ConnectTimeout(CONNECT_TIMEOUT))??;
        let client = ControlClient::new(Config::default(), wire(stream)?).spawn();
        Ok(Self { client, clock })
    }

    /// Compares configurations.
    pub async fn sync(&self, stamp: ConfigVersion) -> Result<SyncReply, PeerError> {
        Ok(self.client.sync(self.context(), stamp).await?)
    }

    /// Compares configurations and reads the state of an agent.
    pub async fn exchange(&self, stamp: ConfigVersion) -> Result<ExchangeReply, PeerError> {
        Ok(self.client.exchange(self.context(), stamp).await?)
    }

    /// Offers a configuration; returns the peer's revision afterwards.
    pub async fn adopt(&self, bundle: Bundle) -> Result<Revision, PeerError> {
        Ok(self.client.adopt(self.context(), bundle).await?)
    }

    /// Reads the state of an agent.
    pub async fn report(&self) -> Result<Option<Report>, PeerError> {
        Ok(self.client.report(self.context()).await?)
    }

    /// Reserves engine memory.
    pub async fn reserve(
        &self,
        lease: LeaseId,
        request: LeaseRequest,
    ) -> Result<LeaseReply, PeerError> {
        Ok(self.client.reserve(self.context(), lease, request).await?)
    }

    /// Extends a lease.
    pub async fn renew(&self, lease: LeaseId) -> Result<LeaseReply, PeerError> {
        Ok(self.client.renew(self.context(), lease).await?)
    }

    /// Ends a lease.
    pub async fn release(&self, lease: LeaseId) -> Result<bool, PeerError> {
        Ok(self.client.release(self.context(), lease).await?)
    }

    fn context(&self) -> Context {
        let mut context = context::current();
        context.deadline = self.clock.now() + CALL_TIMEOUT;
        context
    }
}
