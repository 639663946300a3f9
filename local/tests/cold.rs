//! Targets that start cold or turn cold again: an engine that gets more than it can carry restarts
//! and breaks all its streams, which its restart counter shows.

use fulmarhead_local::{
    FleetHandle, Plan,
    demo::{CallError, Caller, Completed},
    start,
};
use hyper::{Method, StatusCode};
use standins::{
    application::ApplicationSettings,
    cold::ColdSettings,
    engine::{EngineSettings, prompt_state, token},
};
use std::time::Duration;
use testutils::cases;
use tokio::{
    runtime::Runtime,
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Callers that send requests at once, far more than cold engines carry.
const CALLERS: usize = 40;

/// Requests of each caller.
const REQUESTS: usize = 4;

/// Tokens of each answer.
const TOKENS: u64 = 20;

/// Pause of a caller that was refused because the engines have no room.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time for the fleet to start and for all answers to arrive.
const BOUND: Duration = Duration::from_secs(40);

/// What happens to the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// They start cold.
    ColdStart,
    /// They restart under load and are cold afterwards.
    Restart,
}

fn plan() -> Plan {
    let cold = ColdSettings { starts_cold: true, ..ColdSettings::default() };
    let engine = EngineSettings { cold, ..EngineSettings::default() };
    Plan { engines: 2, workers: 0, engine, ..Plan::default() }
}

async fn wait_started(caller: &Caller, fleet: &FleetHandle) {
    for entry in &fleet.callers {
        while caller.complete(*entry, "assistant", "started", 1).await.is_err() {
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Sends the requests of one caller, again when it is refused, and returns the answers.
async fn call(
    caller: Caller,
    fleet: FleetHandle,
    index: usize,
) -> Vec<Result<Completed, CallError>> {
    let entry = fleet.callers[index % fleet.callers.len()];
    let mut answers = Vec::new();
    while answers.len() < REQUESTS {
        match caller.complete(entry, "assistant", &prompt(index), TOKENS).await {
            Err(CallError::Refused(StatusCode::SERVICE_UNAVAILABLE)) => sleep(RETRY_PAUSE).await,
            answer => answers.push(answer),
        }
    }
    answers
}

fn prompt(index: usize) -> String {
    format!("quote {index} ").repeat(100)
}

fn expected(index: usize) -> String {
    let state = prompt_state(None, &prompt(index));
    (0..TOKENS).map(|position| token(state, position)).collect()
}

/// Sends load and returns how many answers were right and how often engines restarted.
async fn load(fleet: &FleetHandle, fault: Fault) -> (usize, u64) {
    let caller = Caller::default();
    timeout(BOUND, wait_started(&caller, fleet)).await.unwrap();
    let mut calls = JoinSet::new();
    for index in 0..CALLERS {
        let call = call(caller.clone(), fleet.clone(), index);
        calls.spawn(async move { (index, call.await) });
    }
    if fault == Fault::Restart {
        fleet.engines[0].restart();
    }
    let mut right = 0;
    while let Some(done) = calls.join_next().await {
        let (index, answers) = done.unwrap();
        let text = expected(index);
        right += answers.iter().flatten().filter(|answer| answer.text == text).count();
    }
    let restarts = fleet.engines.iter().map(|engine| engine.load().restarts).sum();
    (right, restarts)
}

/// Sends the orders of one caller, each under its own key; returns how many were answered.
async fn order(caller: Caller, fleet: FleetHandle, index: usize) -> usize {
    let entry = fleet.callers[index % fleet.callers.len()];
    let mut answered = 0;
    for _ in 0..REQUESTS {
        let key = caller.key(entry, "yard-desk").await.unwrap();
        let path = "/apps/yard-desk/orders";
        let call = caller.call(entry, Method::POST, path, Some(&key), "12 beams".into());
        answered += usize::from(call.await.unwrap().status == StatusCode::CREATED);
    }
    answered
}

/// Guards against a cold application worker that gets all orders at once and restarts.
#[test]
fn workers_that_start_cold_answer_each_order_once() {
    let cold = ColdSettings { starts_cold: true, ..ColdSettings::default() };
    let worker = ApplicationSettings { cold, ..ApplicationSettings::default() };
    let plan = Plan { engines: 0, workers: 2, worker, ..Plan::default() };
    with_fleet(plan, async |fleet| {
        let caller = Caller::default();
        while caller.key(fleet.callers[0], "yard-desk").await.is_err()
            || caller.key(fleet.callers[1], "yard-desk").await.is_err()
        {
            sleep(Duration::from_millis(50)).await;
        }
        let mut calls = JoinSet::new();
        for index in 0..CALLERS {
            calls.spawn(order(caller.clone(), fleet.clone(), index));
        }
        let answered: usize = calls.join_all().await.into_iter().sum();
        let effects: usize = fleet.workers.iter().map(|worker| worker.effects().len()).sum();
        assert_eq!((answered, effects), (CALLERS * REQUESTS, CALLERS * REQUESTS));
    });
}

fn check(fault: Fault, restarts: u64) {
    with_fleet(plan(), async |fleet| {
        assert_eq!(load(&fleet, fault).await, (CALLERS * REQUESTS, restarts));
    });
}

/// Runs a test against a local fleet.
fn with_fleet(plan: Plan, test: impl AsyncFnOnce(FleetHandle)) {
    Runtime::new().unwrap().block_on(async {
        let fleet = start(plan, None).await.unwrap();
        let handle = fleet.handle();
        let shutdown = CancellationToken::new();
        let running = tokio::spawn(fleet.run(shutdown.clone()));
        timeout(BOUND, test(handle)).await.unwrap();
        shutdown.cancel();
        running.await.unwrap().unwrap();
    });
}

cases! {
    check {
        /// Guards against a cold engine that gets the load of a warm one and restarts.
        engines_that_start_cold_never_restart: (Fault::ColdStart, 0),
        /// Guards against an engine that restarts again under the load that it has just lost.
        engine_that_restarts_under_load_restarts_once: (Fault::Restart, 1),
    }
}
