//! Frees the memory of leases that nobody renewed and of streams that nobody resumed.

use crate::agent::{Agent, Cleanup};
use fulmarhead_runtime::supervisor::TaskResult;
use log::info;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time between two looks at the ledger.
const INTERVAL: Duration = Duration::from_millis(500);

/// Ends expired leases until `stop` is cancelled.
pub(crate) async fn expire_leases(agent: Arc<Agent>, stop: CancellationToken) -> TaskResult {
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(INTERVAL) => {}
        }
        if !agent.core().target_read {
            continue;
        }
        // A free that got lost leaves an allocation without a lease; it is found here.
        let allocations = agent.engine.allocations().await.unwrap_or_default();
        let mut core = agent.core();
        let expired = core.leases.expire(agent.clock.now());
        let orphans = core.leases.orphans(&allocations);
        let abandoned = core.take_expired_streams(agent.clock.now());
        drop(core);
        for request in abandoned {
            agent.queue_cleanup(Cleanup::Stream(request));
        }
        for &lease in &expired {
            info!(target: "decision", lease:%; "lease expired");
        }
        for lease in expired.into_iter().chain(orphans) {
            agent.queue_cleanup(Cleanup::Lease(lease));
        }
    }
}
