//! Shutdown of processes by SIGTERM under load.

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
    process::{Effect, Plan, Signal, block_on, eventually},
};

/// Time within which a process with less than a second of work left has to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of tokens of the streams that are open at the signal.
const STREAM_TOKENS: u64 = 200;

/// Number of streams that are open at the signal, enough that each engine has some.
const STREAMS: u64 = 12;

/// Process that gets the signal.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StoppedProcess {
    Agent,
    Entry,
}

/// Stops a process while streams are open and both entries have callers.
fn check_stop(stopped: StoppedProcess) {
    block_on(async {
        let mut fleet = start_fleet(Plan { workers: 0, ..Plan::default() }).await;
        let remaining_load = BackgroundLoad::start(&fleet, &[2], 3);
        let stopped_load = BackgroundLoad::start(&fleet, &[1], 3);
        let mut streams = Vec::new();
        for seed in 0..STREAMS {
            let prompt = prompt(seed, 50);
            let mut stream = fleet.caller(1).stream(&prompt, STREAM_TOKENS).await.unwrap();
            let first = stream.read_events(1).await.unwrap();
            streams.push((prompt, stream, first));
        }
        let target = event_target(&streams[0].2[0]).to_owned();
        let (name, process) = match stopped {
            StoppedProcess::Agent => (&*target, fleet.agent(&target)),
            StoppedProcess::Entry => ("entry-1", fleet.process("entry-1")),
        };
        process.signal(Signal::TERM).unwrap();
        let not_ready = eventually("readiness is off", CONDITION_TIMEOUT, async || {
            (!fleet.is_ready(name).await).then_some(())
        });
        not_ready.await.unwrap();
        // The load balancer sends no new requests to an entry that is not ready.
        let stopped_load = match stopped {
            StoppedProcess::Entry => {
                stopped_load.finish().await.check();
                None
            }
            StoppedProcess::Agent => Some(stopped_load),
        };
        for (prompt, mut stream, mut events) in streams {
            events.extend(stream.read_to_end().await.unwrap());
            assert_eq!(event_contents(&events), expected_events(&prompt, STREAM_TOKENS, 0));
            // In-flight work finishes where it runs, since moving it would repeat its prefill.
            assert_eq!(event_target(events.last().unwrap()), event_target(&events[0]));
        }
        let process = match stopped {
            StoppedProcess::Agent => fleet.agent(&target),
            StoppedProcess::Entry => fleet.process("entry-1"),
        };
        assert!(process.wait(STOP_TIMEOUT).await.unwrap().success());
        if let Some(load) = stopped_load {
            load.finish().await.check();
        }
        remaining_load.finish().await.check();
    });
}

/// Guards against a shutdown that loses the response to an order that was already sent to the
/// application.
#[test]
fn order_is_answered_by_an_agent_that_stops() {
    block_on(async {
        let plan = Plan { engines: 0, service_time: Duration::from_secs(1), ..Plan::default() };
        let mut fleet = start_fleet(plan).await;
        let key = fleet.caller(1).issue_key("yard-desk").await.unwrap();
        let caller = fleet.caller(1).with_header("idempotency-key", &key);
        let order = tokio::spawn(async move {
            caller.call(Method::POST, ORDERS_PATH, "12 beams").await.unwrap()
        });
        let target = key_owner(&key);
        let recorded =
            eventually("the agent has recorded the key", CONDITION_TIMEOUT, async || {
                let state = fleet.state(target).await?;
                (state["keys"] == 1).then_some(())
            });
        recorded.await.unwrap();
        fleet.agent(target).signal(Signal::TERM).unwrap();
        assert_eq!(order.await.unwrap().status, 201);
        assert!(fleet.agent(target).wait(STOP_TIMEOUT).await.unwrap().success());
        let effect = Effect { key: key.clone(), body: "12 beams".to_owned() };
        assert_eq!(fleet.effects().await, [effect]);
    });
}

cases! {
    check_stop {
        /// Guards against streams that are interrupted when an agent stops.
        agent_stops: (StoppedProcess::Agent),
        /// Guards against streams and requests that are interrupted when an entry stops.
        entry_stops: (StoppedProcess::Entry),
    }
}
