//! Cleanup of leases that were not renewed, streams that were not resumed, and allocations without
//! a lease.

use crate::agent::{Agent, Cleanup};
use fulmarhead_runtime::supervisor::TaskResult;
use log::info;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Interval between two checks for expired leases and streams.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Ends expired leases and kept streams, and frees allocations without a lease, until `stop` is
/// cancelled.
pub(crate) async fn free_unused_resources(
    agent: Arc<Agent>,
    stop: CancellationToken,
) -> TaskResult {
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(EXPIRY_INTERVAL) => {}
        }
        if !agent.state().target_read {
            continue;
        }
        // If a call to free memory was lost, the engine holds an allocation without a lease. The
        // comparison with the ledger finds it.
        let allocations = agent.engine.allocations().await.unwrap_or_default();
        let mut state = agent.state();
        let expired_leases = state.leases.expire(agent.clock.now());
        let unleased_allocations = state.leases.orphans(&allocations);
        let expired_streams = state.take_expired_streams(agent.clock.now());
        drop(state);
        for request in expired_streams {
            agent.queue_cleanup(Cleanup::Stream(request));
        }
        for &lease in &expired_leases {
            info!(target: "decision", lease:%; "lease expired");
        }
        for lease in expired_leases.into_iter().chain(unleased_allocations) {
            agent.queue_cleanup(Cleanup::Lease(lease));
        }
    }
}
