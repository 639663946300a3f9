//! Targets that are cold after a start or restart.
//!
//! An overloaded engine restarts and interrupts all its streams; the tests detect this by its
//! restart counter.

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

/// Number of concurrent callers, far more than the capacity of cold engines.
const CALLERS: usize = 40;

/// Number of requests of each caller.
const REQUESTS: usize = 4;

/// Number of tokens of each response.
const TOKENS: u64 = 20;

/// Delay before a caller retries a request that was refused for lack of capacity.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time within which the fleet has to start, and within which each test has to end.
const TEST_TIMEOUT: Duration = Duration::from_secs(40);

/// State or event that leaves engines cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// All engines start cold.
    ColdStart,
    /// One engine restarts under load and is cold afterwards.
    Restart,
}

fn plan() -> Plan {
    let cold = ColdSettings { starts_cold: true, ..ColdSettings::default() };
    let engine = EngineSettings { cold, ..EngineSettings::default() };
    Plan { engines: 2, workers: 0, engine, ..Plan::default() }
}

async fn wait_started(caller: &Caller, fleet: &FleetHandle) {
    for entry in &fleet.caller_addresses {
        while caller.complete(*entry, "assistant", "started", 1).await.is_err() {
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Sends the requests of one caller, with a retry of each refused one, and returns the results.
async fn send_completions(
    caller: Caller,
    fleet: FleetHandle,
    index: usize,
) -> Vec<Result<Completed, CallError>> {
    let entry = fleet.caller_addresses[index % fleet.caller_addresses.len()];
    let mut results = Vec::new();
    while results.len() < REQUESTS {
        match caller.complete(entry, "assistant", &prompt(index), TOKENS).await {
            Err(CallError::Refused(StatusCode::SERVICE_UNAVAILABLE)) => sleep(RETRY_PAUSE).await,
            result => results.push(result),
        }
    }
    results
}

fn prompt(index: usize) -> String {
    format!("quote {index} ").repeat(100)
}

fn expected_text(index: usize) -> String {
    let state = prompt_state(None, &prompt(index));
    (0..TOKENS).map(|position| token(state, position)).collect()
}

/// Sends load and returns the number of correct responses and of engine restarts.
async fn run_load(fleet: &FleetHandle, fault: Fault) -> (usize, u64) {
    let caller = Caller::default();
    timeout(TEST_TIMEOUT, wait_started(&caller, fleet)).await.unwrap();
    let mut calls = JoinSet::new();
    for index in 0..CALLERS {
        let call = send_completions(caller.clone(), fleet.clone(), index);
        calls.spawn(async move { (index, call.await) });
    }
    if fault == Fault::Restart {
        fleet.engines[0].restart();
    }
    let mut correct = 0;
    while let Some(done) = calls.join_next().await {
        let (index, results) = done.unwrap();
        let text = expected_text(index);
        correct += results.iter().flatten().filter(|completed| completed.text == text).count();
    }
    let restarts = fleet.engines.iter().map(|engine| engine.load().restarts).sum();
    (correct, restarts)
}

/// Sends the orders of one caller, each with its own key, and returns how many succeeded.
async fn send_orders(caller: Caller, fleet: FleetHandle, index: usize) -> usize {
    let entry = fleet.caller_addresses[index % fleet.caller_addresses.len()];
    let mut answered = 0;
    for _ in 0..REQUESTS {
        let key = caller.issue_key(entry, "yard-desk").await.unwrap();
        let path = "/apps/yard-desk/orders";
        let call = caller.call(entry, Method::POST, path, Some(&key), "12 beams".into());
        answered += usize::from(call.await.unwrap().status == StatusCode::CREATED);
    }
    answered
}

/// Guards against sending all orders to a cold application worker at once, which makes it restart.
#[test]
fn workers_that_start_cold_answer_each_order_once() {
    let cold = ColdSettings { starts_cold: true, ..ColdSettings::default() };
    let worker = ApplicationSettings { cold, ..ApplicationSettings::default() };
    let plan = Plan { engines: 0, workers: 2, worker, ..Plan::default() };
    with_fleet(plan, async |fleet| {
        let caller = Caller::default();
        while caller.issue_key(fleet.caller_addresses[0], "yard-desk").await.is_err()
            || caller.issue_key(fleet.caller_addresses[1], "yard-desk").await.is_err()
        {
            sleep(Duration::from_millis(50)).await;
        }
        let mut calls = JoinSet::new();
        for index in 0..CALLERS {
            calls.spawn(send_orders(caller.clone(), fleet.clone(), index));
        }
        let answered: usize = calls.join_all().await.into_iter().sum();
        let effects: usize = fleet.workers.iter().map(|worker| worker.effects().len()).sum();
        assert_eq!((answered, effects), (CALLERS * REQUESTS, CALLERS * REQUESTS));
    });
}

fn check_restarts(fault: Fault, restarts: u64) {
    with_fleet(plan(), async |fleet| {
        assert_eq!(run_load(&fleet, fault).await, (CALLERS * REQUESTS, restarts));
    });
}

/// Runs `test` against a local fleet.
fn with_fleet(plan: Plan, test: impl AsyncFnOnce(FleetHandle)) {
    Runtime::new().unwrap().block_on(async {
        let fleet = start(plan, None).await.unwrap();
        let handle = fleet.handle();
        let shutdown = CancellationToken::new();
        let running = tokio::spawn(fleet.run(shutdown.clone()));
        timeout(TEST_TIMEOUT, test(handle)).await.unwrap();
        shutdown.cancel();
        running.await.unwrap().unwrap();
    });
}

cases! {
    check_restarts {
        /// Guards against sending a cold engine the load of a warm one, which makes it restart.
        engines_that_start_cold_never_restart: (Fault::ColdStart, 0),
        /// Guards against sending a restarted, cold engine its earlier load, which makes it restart
        /// again.
        engine_that_restarts_under_load_restarts_once: (Fault::Restart, 1),
    }
}
