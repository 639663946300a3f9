//! Orders, which must not run twice, while agents, entries and connections fail.

use crate::support::{CONDITION_TIMEOUT, ORDERS_PATH, key_owner, start_fleet};
use hyper::Method;
use std::time::Duration;
use testutils::{
    cases,
    process::{Caller, Effect, Fleet, FullResponse, Link, Plan, Signal, block_on, eventually},
    proxy::Mode,
};

/// Body of the order that each test sends.
const ORDER_BODY: &str = "12 beams";

/// Time limit of calls that get no response.
const SHORT_DEADLINE_MS: &str = "1500";

/// Returns a new key, and for each entry a caller that sends it.
async fn issue_key(fleet: &Fleet) -> (String, [Caller; 2]) {
    let key = fleet.caller(1).issue_key("yard-desk").await.unwrap();
    let callers = [1, 2].map(|entry| fleet.caller(entry).with_header("idempotency-key", &key));
    (key, callers)
}

async fn send_order(caller: &Caller) -> FullResponse {
    caller.call(Method::POST, ORDERS_PATH, ORDER_BODY).await.unwrap()
}

/// Sends an order in a separate task.
fn spawn_order(caller: &Caller, deadline_ms: &str) -> tokio::task::JoinHandle<FullResponse> {
    let caller = caller.with_header("fulmarhead-deadline-ms", deadline_ms);
    tokio::spawn(async move { send_order(&caller).await })
}

/// Waits until the order with `key` has its effect.
async fn wait_effect(fleet: &Fleet, key: &str) {
    let condition = "the order has its effect";
    let effect_seen = eventually(condition, CONDITION_TIMEOUT, async || {
        (fleet.effects().await.len() == 1).then_some(())
    });
    effect_seen.await.unwrap();
    assert_eq!(fleet.effects().await, [effect(key)]);
}

fn effect(key: &str) -> Effect {
    Effect { key: key.to_owned(), body: ORDER_BODY.to_owned() }
}

/// Guards against a second effect when two entries send the same order at once and neither knows of
/// the other's request.
#[test]
fn same_key_at_two_entries_at_once_has_one_effect() {
    block_on(async {
        let plan = Plan { service_time: Duration::from_millis(300), ..Plan::default() };
        let fleet = start_fleet(plan).await;
        let (key, [one, two]) = issue_key(&fleet).await;
        let (first, second) = tokio::join!(send_order(&one), send_order(&two));
        assert_eq!((first.status, &first), (201, &second));
        assert_eq!(fleet.effects().await, [effect(&key)]);
    });
}

/// Access of a killed owner to a configuration after its restart.
#[derive(Clone, Copy)]
enum Restart {
    /// The owner gets a configuration again.
    Configured,
    /// The owner has no connection to or from any process that has a configuration.
    Unconfigured,
}

/// Restarts the owner of a key after the effect and before the response, and repeats the order.
fn check_restart(restart: Restart) {
    block_on(async {
        let mut fleet = start_fleet(Plan::default()).await;
        let (key, callers) = issue_key(&fleet).await;
        let target = key_owner(&key);
        fleet.link(&Link::Target(target.to_owned())).set_mode(Mode::HoldResponses);
        let first = spawn_order(&callers[0], "5000");
        wait_effect(&fleet, &key).await;
        if let Restart::Unconfigured = restart {
            fleet.link(&Link::Control(0, target.to_owned())).set_mode(Mode::Cut);
            fleet.link(&Link::Service(0)).set_mode(Mode::Cut);
            fleet.link(&Link::Peer(0, "entry-1".to_owned())).set_mode(Mode::Cut);
            fleet.link(&Link::Peer(0, "entry-2".to_owned())).set_mode(Mode::Cut);
        }
        fleet.agent(target).restart().await.unwrap();
        fleet.link(&Link::Target(target.to_owned())).set_mode(Mode::Pass);
        assert_eq!(first.await.unwrap().member("outcome"), "unknown");
        for caller in &callers {
            assert_eq!(send_order(caller).await.member("outcome"), "unknown");
        }
        if let Restart::Configured = restart {
            fleet.wait_serving().await.unwrap();
        }
        for caller in &callers {
            assert_eq!(send_order(caller).await.member("outcome"), "unknown");
        }
        assert_eq!(fleet.effects().await, [effect(&key)]);
    });
}

/// Guards against a restarted entry without configuration that reports an order of another entry as
/// not run.
#[test]
fn restarted_entry_does_not_report_an_order_as_not_run() {
    block_on(async {
        let mut fleet = start_fleet(Plan::default()).await;
        let (key, [one, two]) = issue_key(&fleet).await;
        assert_eq!(send_order(&one).await.status, 201);
        fleet.link(&Link::Service(0)).set_mode(Mode::Cut);
        fleet.link(&Link::Peer(0, "entry-1".to_owned())).set_mode(Mode::Cut);
        fleet.process("entry-2").restart().await.unwrap();
        let response = eventually("the entry responds", CONDITION_TIMEOUT, async || {
            two.call(Method::POST, ORDERS_PATH, ORDER_BODY).await.ok()
        });
        assert_eq!(response.await.unwrap().status_and_outcome(), (503, "unknown".to_owned()));
        assert_eq!(fleet.effects().await, [effect(&key)]);
    });
}

/// Time at which the owner of a key is paused.
#[derive(Clone, Copy, Debug)]
enum Pause {
    /// Before the order reaches the owner.
    BeforeOrder,
    /// After the effect and before the response.
    AfterEffect,
}

/// Pauses the owner of a key for longer than the time limit, resumes it and repeats the order.
fn check_pause(pause: Pause) {
    block_on(async {
        let mut fleet = start_fleet(Plan::default()).await;
        let (key, callers) = issue_key(&fleet).await;
        let target = key_owner(&key);
        let link = Link::Target(target.to_owned());
        let first = match pause {
            Pause::BeforeOrder => {
                fleet.agent(target).signal(Signal::STOP).unwrap();
                spawn_order(&callers[0], SHORT_DEADLINE_MS)
            }
            Pause::AfterEffect => {
                fleet.link(&link).set_mode(Mode::HoldResponses);
                let first = spawn_order(&callers[0], SHORT_DEADLINE_MS);
                wait_effect(&fleet, &key).await;
                fleet.agent(target).signal(Signal::STOP).unwrap();
                first
            }
        };
        let first = first.await.unwrap().status_and_outcome();
        assert_eq!(first.1, "unknown");
        fleet.link(&link).set_mode(Mode::Pass);
        fleet.agent(target).signal(Signal::CONT).unwrap();
        fleet.wait_serving().await.unwrap();
        let mut repeated = Vec::new();
        for caller in &callers {
            repeated.push(send_order(caller).await.status_and_outcome());
        }
        let effects = fleet.effects().await;
        // The responses to repeated orders must agree with the effects at the application.
        match (&*repeated[0].1, pause) {
            ("", _) => assert_eq!(effects, [effect(&key)]),
            // The resumed agent may notice its expired deadline before the response.
            ("unknown", Pause::AfterEffect) => assert_eq!(effects, [effect(&key)]),
            ("unknown", Pause::BeforeOrder) => assert!(effects.len() <= 1),
            ("not_run", Pause::BeforeOrder) => assert_eq!(effects, []),
            other => panic!("response {other:?} contradicts the effects {effects:?}"),
        }
        assert_eq!(repeated[0], repeated[1]);
    });
}

/// Drops the response to an order on `link` after the effect, and repeats the order.
///
/// Checks the status and outcome of the first call and of its repetitions.
fn check_lost_response(
    link: fn(&str) -> Link,
    expected_first: (u16, &str),
    expected_repeated: (u16, &str),
) {
    block_on(async {
        let fleet = start_fleet(Plan::default()).await;
        let (key, callers) = issue_key(&fleet).await;
        let link = link(key_owner(&key));
        fleet.link(&link).set_mode(Mode::HoldResponses);
        let first = spawn_order(&callers[0], "5000");
        wait_effect(&fleet, &key).await;
        fleet.link(&link).set_mode(Mode::Cut);
        fleet.link(&link).set_mode(Mode::Pass);
        let to_owned = |(status, outcome): (u16, &str)| (status, outcome.to_owned());
        let first = first.await.unwrap();
        assert_eq!(first.status_and_outcome(), to_owned(expected_first), "{}", first.json());
        fleet.wait_serving().await.unwrap();
        for caller in &callers {
            assert_eq!(send_order(caller).await.status_and_outcome(), to_owned(expected_repeated));
        }
        assert_eq!(fleet.effects().await, [effect(&key)]);
    });
}

cases! {
    check_restart {
        /// Guards against an agent that runs an order again which it ran before its restart.
        restarted_owner_does_not_run_again: (Restart::Configured),
        /// Guards against a restarted agent without configuration that reports an order from before
        /// its restart as not run.
        restarted_owner_without_configuration_does_not_report_not_run: (Restart::Unconfigured),
    }
    check_pause {
        /// Guards against a resumed agent that runs an expired order and then runs its repetition
        /// too.
        owner_paused_before_the_order: (Pause::BeforeOrder),
        /// Guards against an agent that loses the record of an order sent to the application before
        /// the pause.
        owner_paused_after_the_effect: (Pause::AfterEffect),
    }
    check_lost_response {
        /// Guards against running an order again whose response did not reach the agent.
        response_lost_before_the_agent: (
            |target| Link::Target(target.to_owned()), (502, "unknown"), (502, "unknown"),
        ),
        /// Guards against an entry that fails to fetch a response which the agent has stored.
        response_lost_before_the_entry: (
            |target| Link::Work(0, target.to_owned()), (201, ""), (201, ""),
        ),
    }
}
