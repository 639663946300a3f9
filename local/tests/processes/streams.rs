//! Streams whose engine, agent or entry fails, and responses in another order than their requests.

use crate::support::{
    CONDITION_TIMEOUT, event_contents, event_target, expected_events, expected_text, prompt,
    response_text, start_fleet,
};
use std::time::Duration;
use testutils::{
    cases,
    process::{Event, Fleet, Link, Plan, Signal, block_on, eventually},
    proxy::Mode,
};

/// Number of tokens of each response, enough for a fault in the middle of it.
const TOKENS: u64 = 150;

/// Number of events that are read before the fault.
const EVENTS_BEFORE: usize = 15;

/// Time within which all leases of a killed process expire, including the interval at which agents
/// check them.
const LEASE_TIMEOUT: Duration = Duration::from_secs(15);

/// Process that fails, and how.
#[derive(Clone, Copy)]
enum ProcessFault {
    /// The engine is killed.
    Engine,
    /// The agent is killed and restarted.
    Agent,
    /// The agent is paused until its streams have moved, and then resumed.
    PausedAgent,
}

fn plan() -> Plan {
    Plan { engines: 4, workers: 0, ..Plan::default() }
}

/// Opens `streams` streams with prompts of `prompt_tokens` tokens, and makes the process that
/// generates the last one fail.
fn check_process_fault(fault: ProcessFault, streams: u64, prompt_tokens: usize) {
    block_on(async {
        let mut fleet = start_fleet(plan()).await;
        let caller = fleet.caller(1);
        let mut open = Vec::new();
        for seed in 0..streams {
            let prompt = prompt(seed, prompt_tokens);
            let mut stream = caller.stream(&prompt, TOKENS).await.unwrap();
            let events = stream.read_events(1).await.unwrap();
            open.push((prompt, stream, events));
        }
        let target = event_target(&open[open.len() - 1].2[0]).to_owned();
        match fault {
            ProcessFault::Engine => fleet.process(&target).kill().await.unwrap(),
            ProcessFault::Agent => fleet.agent(&target).kill().await.unwrap(),
            ProcessFault::PausedAgent => fleet.agent(&target).signal(Signal::STOP).unwrap(),
        }
        let mut last = target.clone();
        for (prompt, mut stream, mut events) in open {
            events.extend(stream.read_to_end().await.unwrap());
            assert_eq!(event_contents(&events), expected_events(&prompt, TOKENS, 0));
            last = event_target(events.last().unwrap()).to_owned();
        }
        assert_ne!(last, target);
        match fault {
            ProcessFault::Engine => return,
            ProcessFault::Agent => fleet.agent(&target).restart().await.unwrap(),
            ProcessFault::PausedAgent => fleet.agent(&target).signal(Signal::CONT).unwrap(),
        }
        // The memory of the failed agent's streams and leases has to be released.
        fleet.wait_memory_free(LEASE_TIMEOUT).await.unwrap();
        fleet.wait_serving().await.unwrap();
    });
}

/// Kills an entry with streams open, and resumes the streams at the other entry.
fn check_entry_killed(streams: u64, prompt_tokens: usize) {
    block_on(async {
        let mut fleet = start_fleet(plan()).await;
        let mut open = Vec::new();
        for seed in 0..streams {
            let prompt = prompt(seed, prompt_tokens);
            let mut stream = fleet.caller(1).stream(&prompt, TOKENS).await.unwrap();
            let events = stream.read_events(EVENTS_BEFORE).await.unwrap();
            open.push((prompt, stream, events));
        }
        fleet.process("entry-1").kill().await.unwrap();
        for (prompt, mut stream, mut events) in open {
            while let Ok(Some(event)) = stream.next().await {
                events.push(event);
            }
            events.extend(resume(&fleet, &prompt, &events).await);
            assert_eq!(event_contents(&events), expected_events(&prompt, TOKENS, 0));
        }
        fleet.wait_memory_free(LEASE_TIMEOUT).await.unwrap();
        for engine in ["engine-1", "engine-2", "engine-3", "engine-4"] {
            assert_eq!(fleet.allocations(engine).await, []);
        }
    });
}

/// Requests the events after `received` from the second entry.
async fn resume(fleet: &Fleet, prompt: &str, received: &[Event]) -> Vec<Event> {
    let last = received.last().unwrap();
    if last.is_end {
        return Vec::new();
    }
    let caller = fleet.caller(2).with_header("last-event-id", &last.id);
    // Until the leases of the killed entry expire, the engines may lack memory for a large prompt.
    let stream = eventually("the other entry resumes the stream", LEASE_TIMEOUT, async || {
        caller.stream(prompt, TOKENS).await.ok()
    });
    stream.await.unwrap().read_to_end().await.unwrap()
}

/// Guards against a response that reaches the caller of another request.
#[test]
fn responses_in_another_order_reach_their_callers() {
    block_on(async {
        let fleet = start_fleet(Plan { engines: 1, workers: 0, ..Plan::default() }).await;
        let link = fleet.link(&Link::Work(0, "engine-1".to_owned()));
        link.set_mode(Mode::HoldResponses);
        let mut calls = Vec::new();
        for seed in 0..4 {
            let caller = fleet.caller(1);
            let prompt = prompt(seed, 50);
            calls.push(tokio::spawn(async move {
                let response = caller.complete(&prompt, 20).await.unwrap();
                (response_text(&response), expected_text(&prompt, 20))
            }));
        }
        let held = eventually("all responses are held", CONDITION_TIMEOUT, async || {
            let held = link.held_connections();
            (held.len() == 4).then_some(held)
        });
        for connection in held.await.unwrap().into_iter().rev() {
            link.release(connection);
        }
        for call in calls {
            let (text, expected) = call.await.unwrap();
            assert_eq!(text, expected);
        }
        fleet.wait_memory_free(CONDITION_TIMEOUT).await.unwrap();
    });
}

cases! {
    check_process_fault {
        /// Guards against missing or repeated tokens when an engine is killed during a stream.
        engine_killed: (ProcessFault::Engine, 1, 50),
        /// Guards against responses that are mixed up when many streams move at once.
        engine_killed_with_many_streams: (ProcessFault::Engine, 12, 50),
        /// Guards against a response that is resumed with only part of its prompt.
        engine_killed_under_a_large_prompt: (ProcessFault::Engine, 1, 110_000),
        /// Guards against missing or repeated tokens when an agent is killed during a stream.
        agent_killed: (ProcessFault::Agent, 6, 50),
        /// Guards against leases that are never released because the agent that granted them was
        /// killed.
        agent_killed_under_a_large_prompt: (ProcessFault::Agent, 1, 110_000),
        /// Guards against a stream that waits for a paused agent, and against late tokens of its
        /// attempt after it is resumed.
        agent_paused: (ProcessFault::PausedAgent, 6, 50),
    }
    check_entry_killed {
        /// Guards against missing or repeated tokens when another entry resumes a stream.
        entry_killed: (8, 50),
        /// Guards against leases of a killed entry that never expire.
        entry_killed_under_a_large_prompt: (1, 110_000),
    }
}
