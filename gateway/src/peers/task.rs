//! Runs one task for each other entry, which exchanges state with it repeatedly.

use super::{exchange::PeerSession, protocol::PeeringClient};
use crate::gateway::Gateway;
use fulmarhead_runtime::{control::control_transport, supervisor::TaskResult};
use log::info;
use std::{collections::BTreeSet, io, net::SocketAddr, sync::Arc, time::Duration};
use tarpc::{
    client::{Config, RpcError},
    context,
};
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Interval between exchanges with a peer. Loads change with each request, but the processor time
/// of more frequent exchanges outweighs the benefit of more recent loads.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum time between exchanges with a peer, about one round trip between zones.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(4);

/// Timeout for a connection or an exchange. Peers respond within a few round trips, but the
/// transfer of a complete configuration takes longer.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Delay before the next attempt after a failure, about the time that a process takes to restart.
/// Also the interval at which the roster is checked for new addresses.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The reason why an exchange failed.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error("connection failed: {0}")]
    Connect(#[from] io::Error),
    #[error("no answer within {CALL_TIMEOUT:?}")]
    Timeout,
    #[error(transparent)]
    Call(#[from] RpcError),
}

/// Runs one task for each other entry until `stop` is cancelled.
pub(crate) async fn exchange_with_peers(
    gateway: Arc<Gateway>,
    stop: CancellationToken,
) -> TaskResult {
    let mut tasks = JoinSet::new();
    let mut running: BTreeSet<SocketAddr> = BTreeSet::new();
    loop {
        for address in gateway.roster.peer_addresses() {
            if running.insert(address) {
                tasks.spawn(exchange_with_peer(Arc::clone(&gateway), address));
            }
        }
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(RETRY_DELAY) => {}
        }
    }
}

async fn exchange_with_peer(gateway: Arc<Gateway>, address: SocketAddr) {
    let mut disconnected = true;
    loop {
        let error = match exchange(&gateway, address, &mut disconnected).await {
            Ok(never) => match never {},
            Err(error) => error,
        };
        if !disconnected {
            info!(target: "decision", address:%, error:%; "lost a peer");
            disconnected = true;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Exchanges with one peer until a call fails. Clears `disconnected` after the first successful
/// exchange.
async fn exchange(
    gateway: &Gateway,
    address: SocketAddr,
    disconnected: &mut bool,
) -> Result<std::convert::Infallible, ExchangeError> {
    let connect = timeout(CALL_TIMEOUT, TcpStream::connect(address));
    let stream = connect.await.map_err(|_| ExchangeError::Timeout)??;
    let client = PeeringClient::new(Config::default(), control_transport(stream)?).spawn();
    let mut peer_updates = gateway.peer_updates.subscribe();
    let mut session = PeerSession::default();
    loop {
        let requested_at = gateway.clock.uptime();
        peer_updates.mark_unchanged();
        let mut context = context::current();
        context.deadline = gateway.clock.now() + CALL_TIMEOUT;
        let response = client.exchange(context, gateway.exchange_request(&mut session)).await?;
        gateway.roster.record_response(address, response.zone.clone(), gateway.clock.now());
        gateway.apply_response(response, requested_at, &mut session);
        if *disconnected {
            info!(target: "decision", address:%; "reached a peer");
            *disconnected = false;
        }
        if !session.has_pending_parts() {
            // The channel closes only when the gateway stops.
            let _ = timeout(EXCHANGE_INTERVAL, peer_updates.changed()).await;
        }
        sleep(MIN_EXCHANGE_INTERVAL).await;
    }
}
