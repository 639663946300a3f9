//! One task for each other entry, which exchanges in a loop.

use super::{exchange::Told, protocol::PeeringClient};
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

/// Time between two exchanges with a peer. Loads change with each request; a shorter time costs
/// more processor time than fresher loads are worth.
const INTERVAL: Duration = Duration::from_millis(150);

/// Shortest time between two exchanges with a peer, about a round trip between zones.
const SPACING: Duration = Duration::from_millis(4);

/// Longest time for a connection or an exchange; peers answer within a few round trips, but a
/// transfer of a whole configuration takes longer.
const CALL_TIME: Duration = Duration::from_millis(600);

/// Pause after a failure, as long as a process takes to restart.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error("connection failed: {0}")]
    Connect(#[from] io::Error),
    #[error("no answer within {CALL_TIME:?}")]
    Timeout,
    #[error(transparent)]
    Call(#[from] RpcError),
}

/// Runs one task for each other entry until `stop` is cancelled.
pub(crate) async fn keep_peers(gateway: Arc<Gateway>, stop: CancellationToken) -> TaskResult {
    let mut tasks = JoinSet::new();
    let mut running: BTreeSet<SocketAddr> = BTreeSet::new();
    loop {
        for address in gateway.roster.others() {
            if running.insert(address) {
                tasks.spawn(keep_peer(Arc::clone(&gateway), address));
            }
        }
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(RETRY_PAUSE) => {}
        }
    }
}

async fn keep_peer(gateway: Arc<Gateway>, address: SocketAddr) {
    let mut lost = true;
    loop {
        let error = match exchange(&gateway, address, &mut lost).await {
            Ok(never) => match never {},
            Err(error) => error,
        };
        if !lost {
            info!(target: "decision", address:%, error:%; "lost a peer");
            lost = true;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Exchanges with one peer until a call fails.
async fn exchange(
    gateway: &Gateway,
    address: SocketAddr,
    lost: &mut bool,
) -> Result<std::convert::Infallible, ExchangeError> {
    let connect = timeout(CALL_TIME, TcpStream::connect(address));
    let stream = connect.await.map_err(|_| ExchangeError::Timeout)??;
    let client = PeeringClient::new(Config::default(), control_transport(stream)?).spawn();
    let mut news = gateway.news.subscribe();
    let mut told = Told::default();
    loop {
        let asked = gateway.clock.uptime();
        news.mark_unchanged();
        let mut context = context::current();
        context.deadline = gateway.clock.now() + CALL_TIME;
        let answer = client.exchange(context, gateway.hello(&mut told)).await?;
        gateway.roster.answered(address, answer.zone.clone(), gateway.clock.now());
        gateway.take(answer, asked, &mut told);
        if *lost {
            info!(target: "decision", address:%; "reached a peer");
            *lost = false;
        }
        if !told.is_unfinished() {
            // A failure to wait means that the gateway ends.
            let _ = timeout(INTERVAL, news.changed()).await;
        }
        sleep(SPACING).await;
    }
}
