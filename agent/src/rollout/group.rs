//! Reads the reports of other agents of the group.

use crate::agent::Agent;
use fulmarhead_lib::{config::Fleet, control::Report, ids::TargetId, release::Reports};
use fulmarhead_runtime::control::{Peer, PeerError};
use futures::{StreamExt, stream};
use log::debug;
use std::{net::SocketAddr, sync::Arc};

/// Agents that are asked at the same time.
const ASKED_AT_ONCE: usize = 32;

/// Asks the agents of `targets`; those that do not answer are missing from the reports.
pub(super) async fn ask(agent: &Agent, fleet: &Fleet, targets: Vec<TargetId>) -> Reports {
    let addresses = targets.into_iter().filter_map(|id| {
        let control = fleet.target(&id)?.control;
        Some((id, control))
    });
    let answers = stream::iter(addresses)
        .map(|(id, address)| async move { (read(agent, address).await, id) })
        .buffer_unordered(ASKED_AT_ONCE);
    let reports = answers.filter_map(|(answer, id)| async move {
        match answer {
            Ok(report) => report.filter(|report| report.target == id).map(|report| (id, report)),
            Err(error) => {
                debug!(target_id = id, error:%; "agent of the group can't be asked");
                None
            }
        }
    });
    reports.collect().await
}

async fn read(agent: &Agent, address: SocketAddr) -> Result<Option<Report>, PeerError> {
    let peer = Peer::connect(address, Arc::clone(&agent.clock)).await?;
    peer.report().await
}
