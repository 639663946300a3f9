//! Network partitions in which both sides keep serving, and combinations of two faults.

use crate::{
    load::BackgroundLoad,
    support::{
        CONDITION_TIMEOUT, ORDERS_PATH, event_contents, event_target, expected_events, key_owner,
        prompt, start_fleet,
    },
};
use hyper::Method;
use std::time::Duration;
use testutils::{
    cases,
    process::{
        Effect, Fleet, FullResponse, Link, ObservedTarget, Plan, Signal, block_on, eventually,
    },
    proxy::Mode,
};

/// Number of requests that have to end during the partition.
const REQUESTS: usize = 60;

/// Number of tokens of the streams that are open at the second fault.
const STREAM_TOKENS: u64 = 200;

/// Age at which an entry discards a report.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Processes of the two sides: odd numbers are on side 0, even ones on side 1.
const FIRST_SIDE: [&str; 4] = ["entry-1", "engine-1", "engine-3", "worker-1"];
const SECOND_SIDE: [&str; 4] = ["entry-2", "engine-2", "engine-4", "worker-2"];

fn plan() -> Plan {
    Plan { sides: 2, engines: 4, workers: 2, ..Plan::default() }
}

/// Sends an order whose body is its key.
async fn send_order(fleet: &Fleet, entry: usize, key: &str) -> FullResponse {
    let caller = fleet.caller(entry).with_header("idempotency-key", key);
    let caller = caller.with_header("fulmarhead-deadline-ms", "1500");
    caller.call(Method::POST, ORDERS_PATH, key.to_owned()).await.unwrap()
}

fn effect(key: &str) -> Effect {
    Effect { key: key.to_owned(), body: key.to_owned() }
}

/// Waits until neither entry has a current report from the other side.
async fn wait_partitioned(fleet: &Fleet) {
    for (entry, own_side) in [("entry-1", FIRST_SIDE), ("entry-2", SECOND_SIDE)] {
        let is_current = |target: &ObservedTarget| target.age < REPORT_LIFETIME;
        let what = format!("{entry} sees only its own side");
        let partitioned = eventually(&what, CONDITION_TIMEOUT, async || {
            let targets = fleet.observed_targets(entry).await;
            let sees_other = targets
                .iter()
                .any(|known| is_current(known) && !own_side.contains(&&*known.target));
            (!sees_other).then_some(())
        });
        partitioned.await.unwrap();
    }
}

/// Partitions the network with `mode`, sends requests on both sides, publishes a revision on one of
/// them, and ends the partition.
fn check_partition(mode: Mode) {
    block_on(async {
        let mut fleet = start_fleet(plan()).await;
        fleet.set_partition(mode);
        wait_partitioned(&fleet).await;
        let load = BackgroundLoad::start(&fleet, &[1, 2], 2);
        let first = fleet.caller(1).issue_key("yard-desk").await.unwrap();
        let second = fleet.caller(2).issue_key("yard-desk").await.unwrap();
        assert_eq!((key_owner(&first), key_owner(&second)), ("worker-1", "worker-2"));
        assert_eq!(send_order(&fleet, 1, &first).await.status, 201);
        assert_eq!(send_order(&fleet, 2, &second).await.status, 201);
        // Only the owner of a key knows the outcome of its call.
        assert_eq!(send_order(&fleet, 2, &first).await.member("outcome"), "unknown");
        assert_eq!(send_order(&fleet, 1, &second).await.member("outcome"), "unknown");
        let revision = fleet.publish_on(0).await.unwrap();
        fleet.wait_revision(&FIRST_SIDE, revision).await.unwrap();
        assert_eq!(fleet.revision_at("entry-2").await, revision - 1);
        load.wait_for(REQUESTS).await;
        fleet.set_partition(Mode::Pass);
        fleet.wait_revision(&SECOND_SIDE, revision).await.unwrap();
        fleet.wait_serving().await.unwrap();
        load.finish().await.check();
        for (entry, key) in [(1, &second), (2, &first)] {
            assert_eq!(send_order(&fleet, entry, key).await.status, 201);
        }
        let mut effects = vec![effect(&first), effect(&second)];
        effects.sort();
        assert_eq!(fleet.effects().await, effects);
    });
}

/// Guards against a response with missing tokens when an engine is killed during a partition.
#[test]
fn engine_killed_in_a_partition() {
    block_on(async {
        let mut fleet = start_fleet(plan()).await;
        let mut streams = Vec::new();
        for seed in 0..8 {
            let prompt = prompt(seed, 50);
            let mut stream = fleet.caller(1).stream(&prompt, STREAM_TOKENS).await.unwrap();
            let events = stream.read_events(1).await.unwrap();
            streams.push((prompt, stream, events));
        }
        fleet.set_partition(Mode::HalfOpen);
        fleet.process("engine-1").kill().await.unwrap();
        let mut last = String::new();
        for (prompt, mut stream, mut events) in streams {
            events.extend(stream.read_to_end().await.unwrap());
            assert_eq!(event_contents(&events), expected_events(&prompt, STREAM_TOKENS, 0));
            last = event_target(events.last().unwrap()).to_owned();
        }
        // The stream that was opened last can't have ended before the faults, so it has to move to
        // the other engine of its side.
        assert_eq!(last, "engine-3");
    });
}

/// Guards against a second effect when the owner of a key is paused after the effect and the entry
/// that sent the order is killed.
#[test]
fn owner_paused_and_entry_killed() {
    block_on(async {
        let mut fleet = start_fleet(plan()).await;
        let key = fleet.caller(1).issue_key("yard-desk").await.unwrap();
        let target = key_owner(&key).to_owned();
        let link = Link::Target(target.clone());
        fleet.link(&link).set_mode(Mode::HoldResponses);
        let caller = fleet.caller(1).with_header("idempotency-key", &key);
        let body = key.clone();
        let first = tokio::spawn(async move { caller.call(Method::POST, ORDERS_PATH, body).await });
        let effect_seen = eventually("the order has its effect", CONDITION_TIMEOUT, async || {
            (fleet.effects().await == [effect(&key)]).then_some(())
        });
        effect_seen.await.unwrap();
        fleet.agent(&target).signal(Signal::STOP).unwrap();
        fleet.process("entry-1").restart().await.unwrap();
        assert!(first.await.unwrap().is_err());
        assert_eq!(send_order(&fleet, 2, &key).await.member("outcome"), "unknown");
        fleet.link(&link).set_mode(Mode::Pass);
        fleet.agent(&target).signal(Signal::CONT).unwrap();
        fleet.wait_serving().await.unwrap();
        for entry in [1, 2] {
            let (status, outcome) = send_order(&fleet, entry, &key).await.status_and_outcome();
            assert!(status == 201 || outcome == "unknown", "{status} {outcome}");
        }
        assert_eq!(fleet.effects().await, [effect(&key)]);
    });
}

cases! {
    check_partition {
        /// Guards against sides that still differ after a partition that closed connections.
        partition_with_closed_connections: (Mode::Cut),
        /// Guards against sides that still differ after a partition that left connections
        /// half-open.
        partition_with_half_open_connections: (Mode::HalfOpen),
    }
}
