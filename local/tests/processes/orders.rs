//! Orders that must not run twice, while agents, entries and connections fail.

use crate::support::{ORDERS, SOON, owner, start};
use hyper::Method;
use std::time::Duration;
use testutils::{
    cases,
    process::{Caller, Effect, Fleet, FullResponse, Link, Plan, Signal, block_on, eventually},
    proxy::Mode,
};

/// Body of the order of each test.
const ORDER: &str = "12 beams";

/// Time limit of calls whose answer does not come.
const SHORT: &str = "1500";

/// Returns a key and the caller of each entry that sends it.
async fn issue(fleet: &Fleet) -> (String, [Caller; 2]) {
    let key = fleet.caller(1).issue_key("yard-desk").await.unwrap();
    let callers = [1, 2].map(|entry| fleet.caller(entry).with_header("idempotency-key", &key));
    (key, callers)
}

async fn order(caller: &Caller) -> FullResponse {
    caller.call(Method::POST, ORDERS, ORDER).await.unwrap()
}

/// Sends an order in a task of its own.
fn spawn_order(caller: &Caller, limit_ms: &str) -> tokio::task::JoinHandle<FullResponse> {
    let caller = caller.with_header("fulmarhead-deadline-ms", limit_ms);
    tokio::spawn(async move { order(&caller).await })
}

/// Waits until the order of `key` has its effect.
async fn wait_effect(fleet: &Fleet, key: &str) {
    let what = "the order has its effect";
    let seen = eventually(what, SOON, async || (fleet.effects().await.len() == 1).then_some(()));
    seen.await.unwrap();
    assert_eq!(fleet.effects().await, [effect(key)]);
}

fn effect(key: &str) -> Effect {
    Effect { key: key.to_owned(), body: ORDER.to_owned() }
}

/// Guards against two entries that both run an order because neither knows of the other's.
#[test]
fn same_key_at_two_entries_at_once_has_one_effect() {
    block_on(async {
        let plan = Plan { service_time: Duration::from_millis(300), ..Plan::default() };
        let fleet = start(plan).await;
        let (key, [one, two]) = issue(&fleet).await;
        let (first, second) = tokio::join!(order(&one), order(&two));
        assert_eq!((first.status, &first), (201, &second));
        assert_eq!(fleet.effects().await, [effect(&key)]);
    });
}

/// What happens to the owner's connections after it was killed.
#[derive(Clone, Copy)]
enum Restart {
    /// The owner gets its configuration back.
    Configured,
    /// The owner can't reach anything that has a configuration, nor be reached with one.
    Unconfigured,
}

/// Kills the owner of a key after the effect and before the answer, and sends the key again.
fn check_restart(restart: Restart) {
    block_on(async {
        let mut fleet = start(Plan::default()).await;
        let (key, callers) = issue(&fleet).await;
        let target = owner(&key);
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
            assert_eq!(order(caller).await.member("outcome"), "unknown");
        }
        if let Restart::Configured = restart {
            fleet.wait_serving().await.unwrap();
        }
        for caller in &callers {
            assert_eq!(order(caller).await.member("outcome"), "unknown");
        }
        assert_eq!(fleet.effects().await, [effect(&key)]);
    });
}

/// Guards against an entry without configuration that says of an order of another entry that it
/// has not run.
#[test]
fn restarted_entry_does_not_deny_an_order() {
    block_on(async {
        let mut fleet = start(Plan::default()).await;
        let (key, [one, two]) = issue(&fleet).await;
        assert_eq!(order(&one).await.status, 201);
        fleet.link(&Link::Service(0)).set_mode(Mode::Cut);
        fleet.link(&Link::Peer(0, "entry-1".to_owned())).set_mode(Mode::Cut);
        fleet.process("entry-2").restart().await.unwrap();
        let answer = eventually("the entry answers", SOON, async || {
            two.call(Method::POST, ORDERS, ORDER).await.ok()
        });
        assert_eq!(answer.await.unwrap().status_and_outcome(), (503, "unknown".to_owned()));
        assert_eq!(fleet.effects().await, [effect(&key)]);
    });
}

/// When the owner of a key is paused.
#[derive(Clone, Copy, Debug)]
enum Pause {
    /// Before the order reaches it.
    BeforeOrder,
    /// After the effect and before the answer.
    AfterEffect,
}

/// Pauses the owner of a key for longer than the time limit, wakes it and sends the key again.
fn check_pause(pause: Pause) {
    block_on(async {
        let mut fleet = start(Plan::default()).await;
        let (key, callers) = issue(&fleet).await;
        let target = owner(&key);
        let link = Link::Target(target.to_owned());
        let first = match pause {
            Pause::BeforeOrder => {
                fleet.agent(target).signal(Signal::STOP).unwrap();
                spawn_order(&callers[0], SHORT)
            }
            Pause::AfterEffect => {
                fleet.link(&link).set_mode(Mode::HoldResponses);
                let first = spawn_order(&callers[0], SHORT);
                wait_effect(&fleet, &key).await;
                fleet.agent(target).signal(Signal::STOP).unwrap();
                first
            }
        };
        let told = first.await.unwrap().status_and_outcome();
        assert_eq!(told.1, "unknown");
        fleet.link(&link).set_mode(Mode::Pass);
        fleet.agent(target).signal(Signal::CONT).unwrap();
        fleet.wait_serving().await.unwrap();
        let mut told = Vec::new();
        for caller in &callers {
            told.push(order(caller).await.status_and_outcome());
        }
        let effects = fleet.effects().await;
        // All that callers are told afterwards fits what the application did.
        match (&*told[0].1, pause) {
            ("", _) => assert_eq!(effects, [effect(&key)]),
            // The agent sees its deadline when it wakes, and may see it before the answer.
            ("unknown", Pause::AfterEffect) => assert_eq!(effects, [effect(&key)]),
            ("unknown", Pause::BeforeOrder) => assert!(effects.len() <= 1),
            ("not_run", Pause::BeforeOrder) => assert_eq!(effects, []),
            other => panic!("told {other:?} after {effects:?}"),
        }
        assert_eq!(told[0], told[1]);
    });
}

/// Loses the answer of an order after its effect, between `link`'s ends.
fn check_lost_answer(link: fn(&str) -> Link, told_first: (u16, &str), told_again: (u16, &str)) {
    block_on(async {
        let fleet = start(Plan::default()).await;
        let (key, callers) = issue(&fleet).await;
        let link = link(owner(&key));
        fleet.link(&link).set_mode(Mode::HoldResponses);
        let first = spawn_order(&callers[0], "5000");
        wait_effect(&fleet, &key).await;
        fleet.link(&link).set_mode(Mode::Cut);
        fleet.link(&link).set_mode(Mode::Pass);
        let told = |(status, outcome): (u16, &str)| (status, outcome.to_owned());
        let first = first.await.unwrap();
        assert_eq!(first.status_and_outcome(), told(told_first), "{}", first.json());
        fleet.wait_serving().await.unwrap();
        for caller in &callers {
            assert_eq!(order(caller).await.status_and_outcome(), told(told_again));
        }
        assert_eq!(fleet.effects().await, [effect(&key)]);
    });
}

cases! {
    check_restart {
        /// Guards against a restarted agent that runs an order of its earlier life again.
        restarted_owner_does_not_run_again: (Restart::Configured),
        /// Guards against a restarted agent that has no configuration yet and says of an order of
        /// its earlier life that it has not run.
        restarted_owner_without_configuration_does_not_deny: (Restart::Unconfigured),
    }
    check_pause {
        /// Guards against an agent that wakes, runs an old order, and runs it again when it is
        /// repeated.
        owner_paused_before_the_order: (Pause::BeforeOrder),
        /// Guards against an agent that forgets over a pause that an order was dispatched.
        owner_paused_after_the_effect: (Pause::AfterEffect),
    }
    check_lost_answer {
        /// Guards against a repetition of an order whose answer the application could not deliver.
        answer_lost_before_the_agent: (
            |target| Link::Target(target.to_owned()), (502, "unknown"), (502, "unknown"),
        ),
        /// Guards against an entry that gives up on an answer that the agent holds.
        answer_lost_before_the_entry: (
            |target| Link::Work(0, target.to_owned()), (201, ""), (201, ""),
        ),
    }
}
