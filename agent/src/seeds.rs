//! Finds a configuration while no entry brings one.

use crate::agent::Agent;
use fulmarhead_lib::control::SyncReply;
use fulmarhead_runtime::{control::Peer, platform::ConfigServiceClient, supervisor::TaskResult};
use log::warn;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time between two looks at whether an entry was heard.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time without an entry after which the agent asks the seeds itself.
const SILENCE: Duration = Duration::from_secs(3);

/// Reads the configuration service once, then asks one seed whenever no entry was heard.
pub(crate) async fn ask_seed(
    agent: Arc<Agent>,
    seed: SocketAddr,
    stop: CancellationToken,
) -> TaskResult {
    loop {
        if is_needed(&agent) {
            ask(&agent, seed).await;
        }
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(INTERVAL) => {}
        }
    }
}

/// Reads the configuration service until it answers once, or until an entry was faster.
pub(crate) async fn read_service(
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
            Err(error) => warn!(error:%; "configuration service can't be read"),
        }
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(INTERVAL) => {}
        }
    }
    stop.cancelled().await;
    Ok(())
}

fn is_needed(agent: &Agent) -> bool {
    let core = agent.core();
    let silent = core
        .last_sync
        .is_none_or(|heard| agent.clock.now().saturating_duration_since(heard) > SILENCE);
    silent || core.config.revision() == 0
}

async fn ask(agent: &Agent, seed: SocketAddr) {
    let Ok(peer) = Peer::connect(seed, Arc::clone(&agent.clock)).await else { return };
    let stamp = agent.core().config.version();
    match peer.sync(stamp).await {
        Ok(SyncReply::Newer(bundle)) => {
            agent.adopt(bundle);
        }
        Ok(SyncReply::Behind(_)) => {
            let bundle = agent.core().config.bundle();
            if let Some(bundle) = bundle
                && peer.adopt(bundle).await.is_ok()
            {
                agent.core().unsynced = false;
            }
        }
        Ok(SyncReply::Current) => agent.core().unsynced = false,
        Ok(SyncReply::Conflict(stamp)) => {
            agent.core().config.record_conflict(stamp.revision);
        }
        Err(_) => {}
    }
}
