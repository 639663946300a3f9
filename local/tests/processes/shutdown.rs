//! SIGTERM under load.

use crate::{
    load::Load,
    support::{ORDERS, SOON, contents, expected, owner, prompt, source, start},
};
use hyper::Method;
use std::time::Duration;
use testutils::{
    cases,
    process::{Effect, Plan, Signal, block_on, eventually},
};

/// Time in which a process ends that has work for less than a second.
const STOP_LIMIT: Duration = Duration::from_secs(15);

/// Length of the streams that are open at the signal, in tokens.
const LONG: u64 = 200;

/// Streams that are open at the signal; some of them are at each engine.
const STREAMS: u64 = 12;

/// Which process gets the signal.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stopped {
    Agent,
    Entry,
}

/// Ends a process with streams open and callers at both entries.
fn check_stop(stopped: Stopped) {
    block_on(async {
        let mut fleet = start(Plan { workers: 0, ..Plan::default() }).await;
        let staying = Load::start(&fleet, &[2], 3);
        let leaving = Load::start(&fleet, &[1], 3);
        let mut streams = Vec::new();
        for seed in 0..STREAMS {
            let prompt = prompt(seed, 50);
            let mut stream = fleet.caller(1).stream(&prompt, LONG).await.unwrap();
            let first = stream.read_events(1).await.unwrap();
            streams.push((prompt, stream, first));
        }
        let target = source(&streams[0].2[0]).to_owned();
        let (name, process) = match stopped {
            Stopped::Agent => (&*target, fleet.agent(&target)),
            Stopped::Entry => ("entry-1", fleet.process("entry-1")),
        };
        process.signal(Signal::TERM).unwrap();
        let not_ready = eventually("readiness is off", SOON, async || {
            (!fleet.is_ready(name).await).then_some(())
        });
        not_ready.await.unwrap();
        // The balancer sends no new requests to an entry that is not ready.
        let leaving = match stopped {
            Stopped::Entry => {
                leaving.finish().await.check();
                None
            }
            Stopped::Agent => Some(leaving),
        };
        for (prompt, mut stream, mut events) in streams {
            events.extend(stream.read_to_end().await.unwrap());
            assert_eq!(contents(&events), expected(&prompt, LONG, 0));
            // Work in flight ends where it runs; moving it costs its prefill once more.
            assert_eq!(source(events.last().unwrap()), source(&events[0]));
        }
        let process = match stopped {
            Stopped::Agent => fleet.agent(&target),
            Stopped::Entry => fleet.process("entry-1"),
        };
        assert!(process.wait(STOP_LIMIT).await.unwrap().success());
        if let Some(leaving) = leaving {
            leaving.finish().await.check();
        }
        staying.finish().await.check();
    });
}

/// Guards against a shutdown that loses the answer of an order that was dispatched.
#[test]
fn order_is_answered_by_an_agent_that_stops() {
    block_on(async {
        let plan = Plan { engines: 0, service_time: Duration::from_secs(1), ..Plan::default() };
        let mut fleet = start(plan).await;
        let key = fleet.caller(1).issue_key("yard-desk").await.unwrap();
        let caller = fleet.caller(1).with_header("idempotency-key", &key);
        let order =
            tokio::spawn(
                async move { caller.call(Method::POST, ORDERS, "12 beams").await.unwrap() },
            );
        let target = owner(&key);
        let recorded = eventually("the agent has recorded the key", SOON, async || {
            let state = fleet.state(target).await?;
            (state["keys"] == 1).then_some(())
        });
        recorded.await.unwrap();
        fleet.agent(target).signal(Signal::TERM).unwrap();
        assert_eq!(order.await.unwrap().status, 201);
        assert!(fleet.agent(target).wait(STOP_LIMIT).await.unwrap().success());
        let effect = Effect { key: key.clone(), body: "12 beams".to_owned() };
        assert_eq!(fleet.effects().await, [effect]);
    });
}

cases! {
    check_stop {
        /// Guards against streams that break off when an agent stops.
        agent_stops: (Stopped::Agent),
        /// Guards against streams and requests that break off when an entry stops.
        entry_stops: (Stopped::Entry),
    }
}
