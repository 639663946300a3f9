//! Reads the load of the target, and detects its restarts and failures as well as pauses of the
//! agent's own process.

use crate::agent::{Agent, AgentState};
use fulmarhead_lib::config::TargetKind;
use fulmarhead_runtime::{
    http::{CallLimits, ClientError, Endpoint},
    platform::engine::EngineLoad,
    supervisor::TaskResult,
};
use log::{info, warn};
use serde::Deserialize;
use std::{sync::Arc, time::Duration};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

/// Interval between two readings of the target. Each reading is one tick of the monitor.
const READ_INTERVAL: Duration = Duration::from_millis(200);

/// Gap between two ticks above which the process is assumed to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Number of consecutive failed readings after which work running at the target counts as lost.
const LOST_AFTER_FAILURES: u32 = 3;

/// Limits on one reading of an application, which sends a single number.
const APPLICATION_READ_LIMITS: CallLimits =
    CallLimits { time: Duration::from_secs(1), bytes: 4 << 10 };

/// The part of the response to `/load` that the agent uses.
#[derive(Debug, Deserialize)]
struct ApplicationLoad {
    restarts: u64,
}

/// Reads the target at regular intervals until `stop` is cancelled.
pub(crate) async fn monitor(agent: Arc<Agent>, stop: CancellationToken) -> TaskResult {
    let mut ticks = interval(READ_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failures = 0;
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        record_tick(&agent);
        match read_load(&agent).await {
            Ok(load) => {
                failures = 0;
                agent.target_lost.send_replace(false);
                record_load(&agent, load).await;
            }
            Err(error) => {
                failures += 1;
                agent.target_lost.send_replace(failures >= LOST_AFTER_FAILURES);
                record_failed_reading(&agent, &error);
            }
        }
    }
}

/// Records the time of the tick. After a long pause, the state of the target, the configuration and
/// the contact with entries count as unknown until they are read again.
fn record_tick(agent: &Agent) {
    let now = agent.clock.now();
    let mut state = agent.state();
    let gap = now.saturating_duration_since(state.last_tick);
    state.last_tick = now;
    if gap > PAUSE_THRESHOLD {
        state.target_read = false;
        state.unsynced = state.config.revision() > 0;
        state.last_sync = None;
        drop(state);
        warn!(
            gap_ms = gap.as_millis() as u64;
            "agent process was paused; reading the target and the configuration again"
        );
    }
}

async fn read_load(agent: &Agent) -> Result<EngineLoad, ClientError> {
    match agent.settings.kind {
        TargetKind::Engine => agent.engine.load().await,
        TargetKind::Application => {
            let endpoint = Endpoint::new(agent.settings.target_address, "/load");
            let load: ApplicationLoad =
                agent.client.get_json(&endpoint, APPLICATION_READ_LIMITS).await?;
            Ok(EngineLoad { restarts: load.restarts, ..EngineLoad::default() })
        }
    }
}

async fn record_load(agent: &Agent, load: EngineLoad) {
    let state_unknown = !agent.state().target_read;
    if state_unknown && agent.settings.kind == TargetKind::Engine && !rebuild_leases(agent).await {
        return;
    }
    let now = agent.clock.now();
    let mut state = agent.state();
    let restarted = state.target_read && state.load.restarts != load.restarts;
    if restarted {
        state.admission.reset_cap(now);
    }
    state.leases.set_total(load.kv_total);
    state.load = load;
    state.target_read = true;
    let ready = state.config.fleet().is_some();
    update_gauges(agent, &state);
    drop(state);
    set_ready(agent, ready);
    if restarted {
        warn!("target restarted; limiting concurrent requests as for a cold target");
    }
    if state_unknown {
        info!("target state read; admitting work once a configuration is active");
    }
}

fn update_gauges(agent: &Agent, state: &AgentState) {
    let gauge = |name: &'static str, value: u64| {
        let target = agent.settings.target.clone();
        metrics::gauge!(name, "target" => target).set(value as f64);
    };
    gauge("fulmarhead_running", state.admission.running().into());
    gauge("fulmarhead_cap", state.admission.limit().into());
    gauge("fulmarhead_leased_tokens", state.leases.used());
    gauge("fulmarhead_keys", state.keys.len() as u64);
    gauge("fulmarhead_revision", state.config.revision());
}

/// Restores leases from the allocations of the engine, such as those that an earlier incarnation of
/// the agent granted.
///
/// Returns whether the engine could be read.
async fn rebuild_leases(agent: &Agent) -> bool {
    match agent.engine.allocations().await {
        Ok(allocations) => {
            agent.state().leases.rebuild(&allocations, agent.clock.now());
            true
        }
        Err(_) => false,
    }
}

fn set_ready(agent: &Agent, ready: bool) {
    agent.ready.send_if_modified(|current| std::mem::replace(current, ready) != ready);
}

fn record_failed_reading(agent: &Agent, error: &ClientError) {
    let mut state = agent.state();
    let was_read = state.target_read;
    state.target_read = false;
    state.admission.reset_cap(agent.clock.now());
    drop(state);
    set_ready(agent, false);
    if was_read {
        warn!(error:%; "reading the target failed; refusing work until it can be read again");
    }
}
