//! Runs one task for each peer that this entry calls, which exchanges state with it repeatedly.

use super::{
    exchange::PeerSession,
    protocol::{MAX_MESSAGE_BYTES, PeeringClient},
};
use crate::gateway::Gateway;
use fulmarhead_lib::membership::Link;
use fulmarhead_runtime::{control::control_transport, supervisor::TaskResult};
use log::info;
use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};
use tarpc::{
    client::{Config, RpcError},
    context,
};
use tokio::{
    net::TcpStream,
    task::{AbortHandle, JoinSet},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Interval between exchanges with the relay of the zone. Loads change with each request, but the
/// processor time of more frequent exchanges outweighs the benefit of more recent loads.
const MEMBER_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between exchanges with the relay of another zone, whose targets are used less.
const ZONE_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum time between exchanges with a peer, about one round trip between zones.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(4);

/// Timeout for a connection or an exchange. Peers respond within a few round trips, but the
/// transfer of a complete configuration takes longer.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval at which the peers to call are selected again, unless a call fails before.
const SELECTION_INTERVAL: Duration = Duration::from_millis(100);

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

/// Task that exchanges state with one peer.
struct PeerTask {
    /// Cancelled when the peer is no longer selected. One more exchange then tells it why: the relay
    /// that an entry leaves for another one may not know of that one otherwise, and stay a relay.
    leave: CancellationToken,
    handle: AbortHandle,
}

/// Runs one task for each peer that the roster selects, until `stop` is cancelled.
pub(crate) async fn exchange_with_peers(
    gateway: Arc<Gateway>,
    stop: CancellationToken,
) -> TaskResult {
    let mut tasks = JoinSet::new();
    let mut running: BTreeMap<(SocketAddr, Link), PeerTask> = BTreeMap::new();
    loop {
        let links = gateway.peer_links();
        running.retain(|(address, link), task| {
            let is_selected = links.get(address) == Some(link);
            if !is_selected {
                task.leave.cancel();
            }
            is_selected && !task.handle.is_finished()
        });
        for (address, link) in links {
            running.entry((address, link)).or_insert_with(|| {
                let leave = CancellationToken::new();
                let task = exchange_with_peer(Arc::clone(&gateway), address, link, leave.clone());
                PeerTask { leave, handle: tasks.spawn(task) }
            });
        }
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            Some(_) = tasks.join_next() => {}
            () = sleep(SELECTION_INTERVAL) => {}
        }
    }
}

async fn exchange_with_peer(
    gateway: Arc<Gateway>,
    address: SocketAddr,
    link: Link,
    leave: CancellationToken,
) {
    let mut connected = false;
    let result = exchange(&gateway, address, link, &leave, &mut connected).await;
    let Err(error) = result else { return };
    gateway.roster().record_failure(address, gateway.clock.now());
    if connected {
        info!(target: "decision", address:%, link:%, error:%; "lost a peer");
    }
}

/// Exchanges with one peer until a call fails, or once more after `leave` is cancelled. Sets
/// `connected` after the first successful exchange.
async fn exchange(
    gateway: &Gateway,
    address: SocketAddr,
    link: Link,
    leave: &CancellationToken,
    connected: &mut bool,
) -> Result<(), ExchangeError> {
    let connect = timeout(CALL_TIMEOUT, TcpStream::connect(address));
    let stream = connect.await.map_err(|_| ExchangeError::Timeout)??;
    let client =
        PeeringClient::new(Config::default(), control_transport(stream, MAX_MESSAGE_BYTES)?)
            .spawn();
    let mut peer_updates = gateway.peer_updates.subscribe();
    let mut session = PeerSession::new(link, gateway.next_connection());
    let mut urgent = false;
    loop {
        let is_last = leave.is_cancelled();
        let requested_at = gateway.clock.uptime();
        peer_updates.mark_unchanged();
        let mut context = context::current();
        context.deadline = gateway.clock.now() + CALL_TIMEOUT;
        let request = gateway.exchange_request(&mut session, urgent);
        let response = client.exchange(context, request).await?;
        gateway.apply_response(response, address, requested_at, &mut session);
        if !*connected {
            info!(target: "decision", address:%, link:%; "reached a peer");
            *connected = true;
        }
        if is_last {
            return Ok(());
        }
        urgent = false;
        if !session.has_pending_parts() {
            tokio::select! {
                // The channel closes only when the gateway stops.
                update = timeout(interval(link), peer_updates.changed()) => urgent = update.is_ok(),
                () = leave.cancelled() => {}
            }
        }
        sleep(MIN_EXCHANGE_INTERVAL).await;
    }
}

fn interval(link: Link) -> Duration {
    match link {
        Link::Relay => MEMBER_INTERVAL,
        Link::Zone | Link::Backup | Link::Discovery => ZONE_INTERVAL,
    }
}
