//! The task that asks the group, decides and gives orders.

use super::group::ask;
use crate::agent::{Agent, Core};
use fulmarhead_lib::{
    config::Fleet,
    release::{EngineState, Order, OrderRequest, Reports, Rollout, Step, StepInput},
};
use fulmarhead_runtime::supervisor::TaskResult;
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time between two rounds.
const INTERVAL: Duration = Duration::from_millis(500);

/// Makes rounds until `stop` is cancelled.
pub(crate) async fn roll_out(agent: Arc<Agent>, stop: CancellationToken) -> TaskResult {
    let mut last = None;
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(INTERVAL) => {}
        }
        let Some(fleet) = ready(&agent) else { continue };
        let targets = agent.core().rollout.as_ref().map(|rollout| rollout.required_reports(&fleet));
        let reports = ask(&agent, &fleet, targets.unwrap_or_default()).await;
        let Some(step) = decide(&agent, &reports) else { continue };
        if last.as_ref() != Some(&step) {
            log_step(&agent, &fleet, &step);
        }
        if let Step::Order(request) = &step {
            order(&agent, request).await;
        }
        last = Some(step);
    }
}

/// Returns the configuration if there is one and the target was read.
fn ready(agent: &Agent) -> Option<Arc<Fleet>> {
    let now = agent.clock.now();
    let mut core = agent.core();
    if !core.may_roll_out(&agent.settings.target, now) {
        return None;
    }
    let fencing = core.load.fencing;
    let new = || Rollout::new(agent.settings.target.clone(), agent.clock.wall(), fencing);
    core.rollout.get_or_insert_with(new);
    core.config.fleet()
}

/// Decides under the lock, so that a target that begins to drain admits nothing more.
fn decide(agent: &Agent, reports: &Reports) -> Option<Step> {
    let now = agent.clock.now();
    let mut core = agent.core();
    if !core.may_roll_out(&agent.settings.target, now) {
        return None;
    }
    let Core { config, rollout, load, admission, leases, kept_streams, .. } = &mut *core;
    let (Some(fleet), Some(rollout)) = (config.fleet(), rollout) else { return None };
    let engine = EngineState {
        loaded: &load.models,
        role: &load.role,
        fencing: load.fencing,
        restarts: load.restarts,
        work: admission.running() as usize + leases.len() + kept_streams.len(),
    };
    let step = rollout.step(&StepInput { fleet: &fleet, engine, reports, now });
    if let Step::Order(OrderRequest { order: Order::LoadModel { .. }, .. }) = &step {
        admission.reset_cap(now);
    }
    Some(step)
}

async fn order(agent: &Agent, request: &OrderRequest) {
    if let Err(error) = agent.engine.order(request).await {
        warn!(fencing = request.fencing, error:%; "order was not taken");
        let now = agent.clock.now();
        if let Some(rollout) = &mut agent.core().rollout {
            rollout.record_refusal(now);
        }
    }
}

fn log_step(agent: &Agent, fleet: &Fleet, step: &Step) {
    let Some(note) = fleet.release.as_ref().map(|note| note.number) else { return };
    let target_id = &agent.settings.target;
    match step {
        Step::Superseded(error) => {
            warn!(target: "decision", target_id, note, error:%; "rollout superseded");
        }
        step => info!(target: "decision", target_id, note, step:?; "rollout step"),
    }
}
