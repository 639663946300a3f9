//! Reads the first configuration from the configuration service, and contacts the seed entries
//! while no entry contacts the agent.

use crate::agent::Agent;
use fulmarhead_lib::control::SyncReply;
use fulmarhead_runtime::{control::Peer, platform::ConfigServiceClient, supervisor::TaskResult};
use log::warn;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Interval between two checks whether the agent has to read or compare configurations.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Time since the last contact with an entry after which the agent contacts the seeds itself.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Compares configurations with `seed` at regular intervals while there is no configuration or no
/// entry has contacted the agent recently, until `stop` is cancelled.
pub(crate) async fn sync_with_seed(
    agent: Arc<Agent>,
    seed: SocketAddr,
    stop: CancellationToken,
) -> TaskResult {
    loop {
        if needs_sync(&agent) {
            sync_config(&agent, seed).await;
        }
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(SYNC_INTERVAL) => {}
        }
    }
}

/// Reads the configuration service until the agent has a configuration from it or from a peer.
///
/// The task then waits for `stop` to be cancelled, since the supervisor restarts a task that ends.
pub(crate) async fn read_config_service(
    agent: Arc<Agent>,
    address: SocketAddr,
    stop: CancellationToken,
) -> TaskResult {
    let service = ConfigServiceClient::new(address, agent.client.clone());
    while agent.revision() == 0 {
        match service.read().await {
            Ok(bundle) => {
                agent.adopt(bundle);
            }
            Err(error) => warn!(error:%; "reading the configuration service failed; trying again"),
        }
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(SYNC_INTERVAL) => {}
        }
    }
    stop.cancelled().await;
    Ok(())
}

fn needs_sync(agent: &Agent) -> bool {
    let state = agent.state();
    let no_recent_contact = state
        .last_sync
        .is_none_or(|time| agent.clock.now().saturating_duration_since(time) > ENTRY_TIMEOUT);
    no_recent_contact || state.config.revision() == 0
}

async fn sync_config(agent: &Agent, seed: SocketAddr) {
    let Ok(peer) = Peer::connect(seed, Arc::clone(&agent.clock)).await else { return };
    let version = agent.state().config.version();
    match peer.sync(version).await {
        Ok(SyncReply::Newer(bundle)) => {
            agent.adopt(bundle);
        }
        Ok(SyncReply::Behind(_)) => {
            let bundle = agent.state().config.bundle();
            if let Some(bundle) = bundle
                && peer.adopt(bundle).await.is_ok()
            {
                agent.state().unsynced = false;
            }
        }
        Ok(SyncReply::Current) => agent.state().unsynced = false,
        Ok(SyncReply::Conflict(version)) => {
            agent.state().config.record_conflict(version.revision);
        }
        Err(_) => {}
    }
}
