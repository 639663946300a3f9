//! A network that splits while both sides serve, and two faults together.

use crate::{
    load::Load,
    support::{ORDERS, SOON, contents, expected, owner, prompt, source, start},
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

/// Requests on each side while the network is split.
const REQUESTS: usize = 60;

/// Length of the streams that are open at the second fault, in tokens.
const LONG: u64 = 200;

/// Age at which an entry drops a report.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// The two sides: odd numbers on side 0, even ones on side 1.
const FIRST_SIDE: [&str; 4] = ["entry-1", "engine-1", "engine-3", "worker-1"];
const SECOND_SIDE: [&str; 4] = ["entry-2", "engine-2", "engine-4", "worker-2"];

fn plan() -> Plan {
    Plan { sides: 2, engines: 4, workers: 2, ..Plan::default() }
}

async fn order(fleet: &Fleet, entry: usize, key: &str) -> FullResponse {
    let caller = fleet.caller(entry).with_header("idempotency-key", key);
    let caller = caller.with_header("fulmarhead-deadline-ms", "1500");
    caller.call(Method::POST, ORDERS, key.to_owned()).await.unwrap()
}

fn effect(key: &str) -> Effect {
    Effect { key: key.to_owned(), body: key.to_owned() }
}

/// Waits until neither entry has a current report from the other side.
async fn wait_split(fleet: &Fleet) {
    for (entry, own) in [("entry-1", FIRST_SIDE), ("entry-2", SECOND_SIDE)] {
        let is_current = |seen: &ObservedTarget| seen.age < REPORT_LIFETIME;
        let what = format!("{entry} sees its own side alone");
        let split = eventually(&what, SOON, async || {
            let seen = fleet.observed_targets(entry).await;
            let other = seen.iter().any(|seen| is_current(seen) && !own.contains(&&*seen.target));
            (!other).then_some(())
        });
        split.await.unwrap();
    }
}

/// Splits the network by `mode`, serves and publishes on one side, and heals it.
fn check_partition(mode: Mode) {
    block_on(async {
        let mut fleet = start(plan()).await;
        fleet.set_partition(mode);
        wait_split(&fleet).await;
        let load = Load::start(&fleet, &[1, 2], 2);
        let first = fleet.caller(1).issue_key("yard-desk").await.unwrap();
        let second = fleet.caller(2).issue_key("yard-desk").await.unwrap();
        assert_eq!((owner(&first), owner(&second)), ("worker-1", "worker-2"));
        assert_eq!(order(&fleet, 1, &first).await.status, 201);
        assert_eq!(order(&fleet, 2, &second).await.status, 201);
        // Only the owner can say what became of a key.
        assert_eq!(order(&fleet, 2, &first).await.member("outcome"), "unknown");
        assert_eq!(order(&fleet, 1, &second).await.member("outcome"), "unknown");
        let revision = fleet.publish_on(0).await.unwrap();
        fleet.wait_revision(&FIRST_SIDE, revision).await.unwrap();
        assert_eq!(fleet.revision_at("entry-2").await, revision - 1);
        load.wait_for(REQUESTS).await;
        fleet.set_partition(Mode::Pass);
        fleet.wait_revision(&SECOND_SIDE, revision).await.unwrap();
        fleet.wait_serving().await.unwrap();
        load.finish().await.check();
        for (entry, key) in [(1, &second), (2, &first)] {
            assert_eq!(order(&fleet, entry, key).await.status, 201);
        }
        let mut effects = vec![effect(&first), effect(&second)];
        effects.sort();
        assert_eq!(fleet.effects().await, effects);
    });
}

/// Guards against an answer with a gap when an engine dies and the network splits at once.
#[test]
fn engine_killed_in_a_partition() {
    block_on(async {
        let mut fleet = start(plan()).await;
        let mut streams = Vec::new();
        for seed in 0..8 {
            let prompt = prompt(seed, 50);
            let mut stream = fleet.caller(1).stream(&prompt, LONG).await.unwrap();
            let events = stream.read_events(1).await.unwrap();
            streams.push((prompt, stream, events));
        }
        fleet.set_partition(Mode::HalfOpen);
        fleet.process("engine-1").kill().await.unwrap();
        let mut last = String::new();
        for (prompt, mut stream, mut events) in streams {
            events.extend(stream.read_to_end().await.unwrap());
            assert_eq!(contents(&events), expected(&prompt, LONG, 0));
            last = source(events.last().unwrap()).to_owned();
        }
        // The stream that was opened last can't have ended before the faults.
        assert_eq!(last, "engine-3");
    });
}

/// Guards against a second effect when the owner of a key is paused in a partition and its entry
/// is killed.
#[test]
fn owner_paused_and_entry_killed() {
    block_on(async {
        let mut fleet = start(plan()).await;
        let key = fleet.caller(1).issue_key("yard-desk").await.unwrap();
        let target = owner(&key).to_owned();
        let link = Link::Target(target.clone());
        fleet.link(&link).set_mode(Mode::HoldResponses);
        let caller = fleet.caller(1).with_header("idempotency-key", &key);
        let body = key.clone();
        let first = tokio::spawn(async move { caller.call(Method::POST, ORDERS, body).await });
        let seen = eventually("the order has its effect", SOON, async || {
            (fleet.effects().await == [effect(&key)]).then_some(())
        });
        seen.await.unwrap();
        fleet.agent(&target).signal(Signal::STOP).unwrap();
        fleet.process("entry-1").restart().await.unwrap();
        assert!(first.await.unwrap().is_err());
        assert_eq!(order(&fleet, 2, &key).await.member("outcome"), "unknown");
        fleet.link(&link).set_mode(Mode::Pass);
        fleet.agent(&target).signal(Signal::CONT).unwrap();
        fleet.wait_serving().await.unwrap();
        for entry in [1, 2] {
            let (status, outcome) = order(&fleet, entry, &key).await.status_and_outcome();
            assert!(status == 201 || outcome == "unknown", "{status} {outcome}");
        }
        assert_eq!(fleet.effects().await, [effect(&key)]);
    });
}

cases! {
    check_partition {
        /// Guards against two sides that disagree after a split whose connections broke.
        split_with_closed_connections: (Mode::Cut),
        /// Guards against two sides that disagree after a split that no connection noticed.
        split_with_silent_connections: (Mode::HalfOpen),
    }
}
