//! Reads the reports of the other agents in the rollout group.

use crate::agent::Agent;
use fulmarhead_lib::{config::Fleet, control::Report, ids::TargetId, release::Reports};
use fulmarhead_runtime::control::{Peer, PeerError};
use futures::{StreamExt, stream};
use log::debug;
use std::{net::SocketAddr, sync::Arc};

/// Maximum number of agents whose reports are requested concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Requests the reports of the agents of `targets`. Agents that do not reply are missing from the
/// result.
pub(super) async fn read_reports(agent: &Agent, fleet: &Fleet, targets: Vec<TargetId>) -> Reports {
    let addresses = targets.into_iter().filter_map(|id| {
        let control = fleet.target(&id)?.control;
        Some((id, control))
    });
    let results = stream::iter(addresses)
        .map(|(id, address)| async move { (read_report(agent, address).await, id) })
        .buffer_unordered(MAX_CONCURRENT_REQUESTS);
    let reports = results.filter_map(|(result, id)| async move {
        match result {
            Ok(report) => report.filter(|report| report.target == id).map(|report| (id, report)),
            Err(error) => {
                debug!(
                    target_id = id, error:%;
                    "reading the report of an agent in the group failed; deciding without it"
                );
                None
            }
        }
    });
    reports.collect().await
}

async fn read_report(agent: &Agent, address: SocketAddr) -> Result<Option<Report>, PeerError> {
    let peer = Peer::connect(address, Arc::clone(&agent.clock)).await?;
    peer.report().await
}
