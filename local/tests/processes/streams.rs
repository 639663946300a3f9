//! Streams whose engine, agent or entry dies, and answers out of order.

use crate::support::{SOON, answer_text, contents, expected, prompt, source, start, text};
use std::time::Duration;
use testutils::{
    cases,
    process::{Event, Fleet, Link, Plan, Signal, block_on, eventually},
    proxy::Mode,
};

/// Length of each answer, long enough to be interrupted.
const TOKENS: u64 = 150;

/// Events that are read before the fault.
const BEFORE: usize = 15;

/// Time in which all leases of a dead entry expire, with the agents' looks at them.
const LEASE_LIMIT: Duration = Duration::from_secs(15);

/// Which process fails.
#[derive(Clone, Copy)]
enum Victim {
    /// The engine is killed.
    Engine,
    /// The agent is killed and started again.
    Agent,
    /// The agent is paused until its streams have moved, and then wakes.
    PausedAgent,
}

fn plan() -> Plan {
    Plan { engines: 4, workers: 0, ..Plan::default() }
}

/// Fails the process that generates the last of `streams` answers to `size` prompt tokens.
fn check_victim(victim: Victim, streams: u64, size: usize) {
    block_on(async {
        let mut fleet = start(plan()).await;
        let caller = fleet.caller(1);
        let mut open = Vec::new();
        for seed in 0..streams {
            let prompt = prompt(seed, size);
            let mut stream = caller.stream(&prompt, TOKENS).await.unwrap();
            let events = stream.read_events(1).await.unwrap();
            open.push((prompt, stream, events));
        }
        let target = source(&open[open.len() - 1].2[0]).to_owned();
        match victim {
            Victim::Engine => fleet.process(&target).kill().await.unwrap(),
            Victim::Agent => fleet.agent(&target).kill().await.unwrap(),
            Victim::PausedAgent => fleet.agent(&target).signal(Signal::STOP).unwrap(),
        }
        let mut last = target.clone();
        for (prompt, mut stream, mut events) in open {
            events.extend(stream.read_to_end().await.unwrap());
            assert_eq!(contents(&events), expected(&prompt, TOKENS, 0));
            last = source(events.last().unwrap()).to_owned();
        }
        assert_ne!(last, target);
        match victim {
            Victim::Engine => return,
            Victim::Agent => fleet.agent(&target).restart().await.unwrap(),
            Victim::PausedAgent => fleet.agent(&target).signal(Signal::CONT).unwrap(),
        }
        // What the failed agent's streams and leases held is free again.
        fleet.wait_memory_free(LEASE_LIMIT).await.unwrap();
        fleet.wait_serving().await.unwrap();
    });
}

/// Kills an entry with streams open and goes on at the other entry.
fn check_entry_killed(streams: u64, size: usize) {
    block_on(async {
        let mut fleet = start(plan()).await;
        let mut open = Vec::new();
        for seed in 0..streams {
            let prompt = prompt(seed, size);
            let mut stream = fleet.caller(1).stream(&prompt, TOKENS).await.unwrap();
            let events = stream.read_events(BEFORE).await.unwrap();
            open.push((prompt, stream, events));
        }
        fleet.process("entry-1").kill().await.unwrap();
        for (prompt, mut stream, mut events) in open {
            while let Ok(Some(event)) = stream.next().await {
                events.push(event);
            }
            events.extend(go_on(&fleet, &prompt, &events).await);
            assert_eq!(contents(&events), expected(&prompt, TOKENS, 0));
        }
        fleet.wait_memory_free(LEASE_LIMIT).await.unwrap();
        for engine in ["engine-1", "engine-2", "engine-3", "engine-4"] {
            assert_eq!(fleet.allocations(engine).await, []);
        }
    });
}

/// Asks the second entry for the events after those that were seen.
async fn go_on(fleet: &Fleet, prompt: &str, seen: &[Event]) -> Vec<Event> {
    let last = seen.last().unwrap();
    if last.is_end {
        return Vec::new();
    }
    let caller = fleet.caller(2).with_header("last-event-id", &last.id);
    // Until the dead entry's leases expire, the engines may have no room for a large prompt.
    let stream = eventually("the other entry goes on", LEASE_LIMIT, async || {
        caller.stream(prompt, TOKENS).await.ok()
    });
    stream.await.unwrap().read_to_end().await.unwrap()
}

/// Guards against an answer that reaches the caller of another request.
#[test]
fn answers_in_another_order_reach_their_callers() {
    block_on(async {
        let fleet = start(Plan { engines: 1, workers: 0, ..Plan::default() }).await;
        let link = fleet.link(&Link::Work(0, "engine-1".to_owned()));
        link.set_mode(Mode::HoldResponses);
        let mut calls = Vec::new();
        for seed in 0..4 {
            let caller = fleet.caller(1);
            let prompt = prompt(seed, 50);
            calls.push(tokio::spawn(async move {
                let answer = caller.complete(&prompt, 20).await.unwrap();
                (answer_text(&answer), text(&prompt, 20))
            }));
        }
        let held = eventually("all answers are held", SOON, async || {
            let held = link.held_connections();
            (held.len() == 4).then_some(held)
        });
        for connection in held.await.unwrap().into_iter().rev() {
            link.release(connection);
        }
        for call in calls {
            let (got, own) = call.await.unwrap();
            assert_eq!(got, own);
        }
        fleet.wait_memory_free(SOON).await.unwrap();
    });
}

cases! {
    check_victim {
        /// Guards against a gap or a repetition when an engine dies in mid-stream.
        engine_killed: (Victim::Engine, 1, 50),
        /// Guards against answers that are mixed up when many of them move at once.
        engine_killed_with_many_streams: (Victim::Engine, 12, 50),
        /// Guards against an answer that goes on without a part of its prompt.
        engine_killed_under_a_large_prompt: (Victim::Engine, 1, 110_000),
        /// Guards against a gap or a repetition when an agent dies in mid-stream.
        agent_killed: (Victim::Agent, 6, 50),
        /// Guards against leases that are lost with the agent that gave them.
        agent_killed_under_a_large_prompt: (Victim::Agent, 1, 110_000),
        /// Guards against a stream that waits for an agent that was paused, and against late
        /// tokens of the paused attempt.
        agent_paused: (Victim::PausedAgent, 6, 50),
    }
    check_entry_killed {
        /// Guards against a gap or a repetition at the entry that goes on with a stream.
        entry_killed: (8, 50),
        /// Guards against leases of a dead entry that are kept for good.
        entry_killed_under_a_large_prompt: (1, 110_000),
    }
}
