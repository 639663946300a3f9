//! The task that reads the reports of the group, decides the next rollout step and sends orders to
//! the engine.

use super::group::read_reports;
use crate::agent::{Agent, AgentState};
use fulmarhead_lib::{
    config::Fleet,
    release::{EngineState, Order, OrderRequest, Reports, Rollout, Step, StepInput},
};
use fulmarhead_runtime::supervisor::TaskResult;
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Interval between two rollout steps.
const STEP_INTERVAL: Duration = Duration::from_millis(500);

/// Performs rollout steps at regular intervals until `stop` is cancelled.
pub(crate) async fn roll_out(agent: Arc<Agent>, stop: CancellationToken) -> TaskResult {
    let mut last_step = None;
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(STEP_INTERVAL) => {}
        }
        let Some(fleet) = ensure_rollout(&agent) else { continue };
        let targets =
            agent.state().rollout.as_ref().map(|rollout| rollout.required_reports(&fleet));
        let reports = read_reports(&agent, &fleet, targets.unwrap_or_default()).await;
        let Some(step) = next_step(&agent, &reports) else { continue };
        if last_step.as_ref() != Some(&step) {
            log_step(&agent, &fleet, &step);
        }
        if let Step::Order(request) = &step {
            send_order(&agent, request).await;
        }
        last_step = Some(step);
    }
}

/// Creates the rollout if there is none yet, and returns the configuration.
///
/// Returns `None` if the state of the agent is not current enough to change the target.
fn ensure_rollout(agent: &Agent) -> Option<Arc<Fleet>> {
    let now = agent.clock.now();
    let mut state = agent.state();
    if !state.may_roll_out(&agent.settings.target, now) {
        return None;
    }
    let fencing = state.load.fencing;
    let new_rollout = || Rollout::new(agent.settings.target.clone(), agent.clock.wall(), fencing);
    state.rollout.get_or_insert_with(new_rollout);
    state.config.fleet()
}

/// Decides the next step. Admission takes the same lock, so no work is admitted once the step has
/// started a drain.
fn next_step(agent: &Agent, reports: &Reports) -> Option<Step> {
    let now = agent.clock.now();
    let mut state = agent.state();
    if !state.may_roll_out(&agent.settings.target, now) {
        return None;
    }
    let AgentState { config, rollout, load, admission, leases, kept_streams, .. } = &mut *state;
    let (Some(fleet), Some(rollout)) = (config.fleet(), rollout) else { return None };
    let engine = EngineState {
        loaded: &load.models,
        role: &load.role,
        fencing: load.fencing,
        restarts: load.restarts,
        // Leases and kept streams also need the engine.
        work: admission.running() as usize + leases.len() + kept_streams.len(),
    };
    let step = rollout.step(&StepInput { fleet: &fleet, engine, reports, now });
    // After it has loaded a model, the engine is cold.
    if let Step::Order(OrderRequest { order: Order::LoadModel { .. }, .. }) = &step {
        admission.reset_cap(now);
    }
    Some(step)
}

async fn send_order(agent: &Agent, request: &OrderRequest) {
    if let Err(error) = agent.engine.order(request).await {
        warn!(
            fencing = request.fencing, error:%;
            "sending an order to the engine failed; trying again after a delay"
        );
        let now = agent.clock.now();
        if let Some(rollout) = &mut agent.state().rollout {
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
