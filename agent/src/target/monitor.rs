//! Reads the target's load and notices restarts and long pauses.

use crate::agent::{Agent, Core};
use fulmarhead_lib::config::TargetKind;
use fulmarhead_runtime::{
    http::{ClientError, Endpoint},
    platform::engine::EngineLoad,
    supervisor::TaskResult,
};
use log::{info, warn};
use serde::Deserialize;
use std::{sync::Arc, time::Duration};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

/// Time between two readings of the target.
const INTERVAL: Duration = Duration::from_millis(200);

/// Gap between two ticks that shows that the process was paused.
const PAUSED_AFTER: Duration = Duration::from_secs(2);

/// Failed readings in a row after which work that runs at the target counts as lost.
const LOST_AFTER: u32 = 3;

/// Longest time for one reading.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
struct ApplicationLoad {
    restarts: u64,
}

/// Reads the target until `stop` is cancelled.
pub(crate) async fn monitor(agent: Arc<Agent>, stop: CancellationToken) -> TaskResult {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failures = 0;
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        tick(&agent);
        match read(&agent).await {
            Ok(load) => {
                failures = 0;
                agent.target_lost.send_replace(false);
                observe(&agent, load).await;
            }
            Err(error) => {
                failures += 1;
                agent.target_lost.send_replace(failures >= LOST_AFTER);
                lose(&agent, &error);
            }
        }
    }
}

/// Records that the process runs; after a long pause the target counts as not read.
fn tick(agent: &Agent) {
    let now = agent.clock.now();
    let mut core = agent.core();
    let gap = now.saturating_duration_since(core.last_check);
    core.last_check = now;
    if gap > PAUSED_AFTER {
        core.target_read = false;
        core.unsynced = core.config.revision() > 0;
        core.last_sync = None;
        drop(core);
        warn!(gap_ms = gap.as_millis() as u64; "process was paused; reading everything again");
    }
}

async fn read(agent: &Agent) -> Result<EngineLoad, ClientError> {
    match agent.settings.kind {
        TargetKind::Engine => agent.engine.load().await,
        TargetKind::Application => {
            let endpoint = Endpoint::new(agent.settings.target_address, "/load");
            let load: ApplicationLoad = agent.client.get_json(&endpoint, READ_TIMEOUT).await?;
            Ok(EngineLoad { restarts: load.restarts, ..EngineLoad::default() })
        }
    }
}

async fn observe(agent: &Agent, load: EngineLoad) {
    let first = !agent.core().target_read;
    if first && agent.settings.kind == TargetKind::Engine && !rebuild_leases(agent).await {
        return;
    }
    let now = agent.clock.now();
    let mut core = agent.core();
    let restarted = core.target_read && core.load.restarts != load.restarts;
    if restarted {
        core.admission.reset_cap(now);
    }
    core.leases.set_total(load.kv_total);
    core.load = load;
    core.target_read = true;
    let able = core.config.fleet().is_some();
    record(agent, &core);
    drop(core);
    set_ready(agent, able);
    if restarted {
        warn!("target restarted; admitting as for a cold one");
    }
    if first {
        info!("target read");
    }
}

fn record(agent: &Agent, core: &Core) {
    let gauge = |name: &'static str, value: u64| {
        let target = agent.settings.target.clone();
        metrics::gauge!(name, "target" => target).set(value as f64);
    };
    gauge("fulmarhead_running", core.admission.running().into());
    gauge("fulmarhead_cap", core.admission.limit().into());
    gauge("fulmarhead_leased_tokens", core.leases.used());
    gauge("fulmarhead_keys", core.keys.len() as u64);
    gauge("fulmarhead_revision", core.config.revision());
}

/// Takes over the memory that leases of an earlier life hold.
async fn rebuild_leases(agent: &Agent) -> bool {
    match agent.engine.allocations().await {
        Ok(allocations) => {
            agent.core().leases.rebuild(&allocations, agent.clock.now());
            true
        }
        Err(_) => false,
    }
}

fn set_ready(agent: &Agent, able: bool) {
    agent.ready.send_if_modified(|known| std::mem::replace(known, able) != able);
}

fn lose(agent: &Agent, error: &ClientError) {
    let mut core = agent.core();
    let lost = core.target_read;
    core.target_read = false;
    core.admission.reset_cap(agent.clock.now());
    drop(core);
    set_ready(agent, false);
    if lost {
        warn!(error:%; "target can't be read");
    }
}
