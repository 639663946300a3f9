//! Requests that are in progress when an entry or an agent is stopped by SIGTERM, and that can't end
//! within its stop timeout.

use crate::support::{CONDITION_TIMEOUT, ORDERS_PATH, prompt, start_fleet};
use futures::future::join_all;
use serde_json::json;
use std::time::Duration;
use testutils::{
    cases,
    process::{
        APPLICATION, Fleet, MODEL, Plan, RawConnection, Received, Signal, TOKEN, block_on,
        eventually,
    },
};
use tokio::time::{Instant, sleep};

/// Time after SIGTERM during which an entry accepts requests as before.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Time for work to finish: of an entry after the drain time, of an agent after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Execution time of a call to the application, which exceeds the times of all stops.
const SERVICE_TIME: Duration = Duration::from_secs(30);

/// Time limit of a request, longer than all stops.
const TIME_LIMIT_MS: u64 = 28_000;

/// Prompt tokens per second of an engine.
const PREFILL_RATE: u64 = 10_000;

/// Memory of an engine, enough for several long prompts.
const KV_TOKENS: u64 = 400_000;

/// Tokens of a prompt whose prefill takes 10 s. A prompt of this length may wait as long for an engine.
const LONG_PROMPT: usize = 100_001;

/// Tokens of a prompt whose prefill takes 6 s, longer than the stop of an entry or agent.
const MEDIUM_PROMPT: usize = 60_000;

/// Output tokens whose decoding takes 25 s.
const LONG_OUTPUT: u64 = 500;

/// Time within which a request is answered that is refused at once, and within which a process ends
/// after the time that its work has.
const PROMPT_LIMIT: Duration = Duration::from_secs(1);

/// Time for a request to reach the stage in which the stop finds it.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// What a request waits for when its process is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    /// The rest of its body.
    Body,
    /// An engine with memory and time for its prompt.
    Capacity,
    /// An engine in service.
    Engine,
    /// The first token of a response that is collected.
    FirstToken,
    /// The first event of a stream.
    FirstEvent,
    /// The rest of a response that is collected.
    LastToken,
    /// The rest of a stream.
    LastEvent,
    /// The answer to a call that may be repeated.
    StockCheck,
    /// The answer to a call with an idempotency key.
    Order,
}

impl Pending {
    /// Returns the request.
    async fn request(self, fleet: &Fleet) -> String {
        match self {
            Self::Body => {
                let text = completion(100, 1, false);
                text[..text.len() - 1].to_owned()
            }
            Self::Capacity => completion(LONG_PROMPT, 1, false),
            Self::Engine => completion(100, 1, false),
            Self::FirstToken => completion(MEDIUM_PROMPT, 1, false),
            Self::FirstEvent => completion(MEDIUM_PROMPT, 1, true),
            Self::LastToken => completion(10, LONG_OUTPUT, false),
            Self::LastEvent => completion(10, LONG_OUTPUT, true),
            Self::StockCheck => request("GET", &format!("/apps/{APPLICATION}/stock"), "", ""),
            Self::Order => {
                let key = fleet.caller(1).issue_key(APPLICATION).await.unwrap();
                let header = format!("idempotency-key: {key}\r\n");
                request("POST", ORDERS_PATH, &header, "12 beams")
            }
        }
    }
}

/// Returns a request with additional `headers`.
fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
         authorization: Bearer {TOKEN}\r\nfulmarhead-deadline-ms: {TIME_LIMIT_MS}\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
}

/// Returns a request for a completion of a prompt that no other request has.
fn completion(prompt_tokens: usize, tokens: u64, stream: bool) -> String {
    let prompt = prompt(prompt_tokens as u64, prompt_tokens);
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream });
    request("POST", "/v1/completions", "content-type: application/json\r\n", &body.to_string())
}

/// Starts a fleet whose targets are slower than the stop of a process.
async fn start_slow_fleet(engines: usize) -> Fleet {
    let plan = Plan {
        entries: 1,
        engines,
        workers: 1,
        kv_total: KV_TOKENS,
        prefill_rate: PREFILL_RATE,
        decode_time: Duration::from_millis(50),
        service_time: SERVICE_TIME,
        drain_time: DRAIN_TIME,
        stop_timeout: STOP_TIMEOUT,
        ..Plan::default()
    };
    start_fleet(plan).await
}

/// Opens a connection to the entry and sends `text`.
async fn send(fleet: &Fleet, text: &str) -> RawConnection {
    let mut connection = RawConnection::open(fleet.caller(1).address()).await.unwrap();
    connection.send(text).await.unwrap();
    sleep(SETTLE_TIME).await;
    connection
}

/// Stops the entry while `pending` is in progress, and returns the response.
async fn stop_entry(pending: Pending) -> Received {
    let mut fleet = start_slow_fleet(1).await;
    let _blocker = match pending {
        Pending::Capacity => Some(send(&fleet, &completion(LONG_PROMPT, 1, false)).await),
        _ => None,
    };
    if pending == Pending::Engine {
        let revision = fleet.publish(|fleet| fleet.targets[0].departing = true).await.unwrap();
        fleet.wait_revision(&["entry-1", "engine-1"], revision).await.unwrap();
    }
    let mut connection = send(&fleet, &pending.request(&fleet).await).await;
    let entry = fleet.process("entry-1");
    entry.signal(Signal::TERM).unwrap();
    let stopped_at = Instant::now();
    let response = connection.read().await;
    let end_limit = DRAIN_TIME + STOP_TIMEOUT + PROMPT_LIMIT;
    entry.wait(end_limit.saturating_sub(stopped_at.elapsed())).await.unwrap();
    response
}

/// Checks the status and the outcome of a request that is in progress when its entry stops.
fn check_entry(pending: Pending, status: u16, outcome: &str) {
    block_on(async {
        let response = stop_entry(pending).await;
        assert_eq!(response.status(), Some(status), "{response:?}");
        assert!(response.has_outcome(outcome), "{response:?}");
    });
}

cases! {
    check_entry {
        /// Guards against a caller that is not told that its request has not run, because its body
        /// was not complete when the entry ended.
        entry_waits_for_body: (Pending::Body, 503, "not_run"),
        /// The same for a prompt that no engine can take.
        entry_waits_for_capacity: (Pending::Capacity, 503, "not_run"),
        entry_waits_for_engine: (Pending::Engine, 503, "not_run"),
        /// Guards against a request that gets no response because its target has not answered when
        /// the entry ends.
        entry_waits_for_first_token: (Pending::FirstToken, 502, "failed"),
        entry_waits_for_first_event: (Pending::FirstEvent, 502, "failed"),
        entry_waits_for_last_token: (Pending::LastToken, 502, "failed"),
        entry_waits_for_stock_check: (Pending::StockCheck, 502, "failed"),
        entry_waits_for_order: (Pending::Order, 502, "unknown"),
    }
}

/// Guards against a stream that breaks off without an error event when the entry ends.
#[test]
fn entry_waits_for_last_event() {
    block_on(async {
        let response = stop_entry(Pending::LastEvent).await;
        assert_eq!(response.status(), Some(200), "{response:?}");
        let error = response.text.split_once("event: error\n").map(|(_, data)| data);
        assert!(error.is_some_and(|data| data.contains(r#""outcome":"failed""#)), "{response:?}");
        // The chunk of length 0 ends the body.
        assert!(response.text.ends_with("\r\n0\r\n\r\n"), "{response:?}");
    });
}

/// Sends the last byte of a request with a time limit of `limit_ms` after the drain time of a stopping
/// entry, and checks the status of its response, which must come at once.
fn check_late(limit_ms: u64, status: u16) {
    block_on(async {
        let mut fleet = start_slow_fleet(1).await;
        let text = completion(10, 1, false);
        let text = text.replacen(&TIME_LIMIT_MS.to_string(), &limit_ms.to_string(), 1);
        let (begin, rest) = text.split_at(text.len() - 1);
        let mut connection = send(&fleet, begin).await;
        let entry = fleet.process("entry-1");
        entry.signal(Signal::TERM).unwrap();
        sleep(DRAIN_TIME + SETTLE_TIME).await;
        let sent_at = Instant::now();
        connection.send(rest).await.unwrap();
        let response = connection.read().await;
        let waited = sent_at.elapsed();
        assert_eq!(response.status(), Some(status), "{response:?}");
        assert!(status == 200 || response.has_outcome("not_run"), "{response:?}");
        assert!(waited <= PROMPT_LIMIT, "the response came after {waited:?}");
    });
}

cases! {
    check_late {
        /// Guards against a request that is taken although it might not end before the entry does.
        entry_gets_request_late: (TIME_LIMIT_MS, 503),
        /// Guards against refusing one that is certain to end before.
        entry_gets_short_request_late: (3_800, 200),
    }
}

/// Guards against a connection that the kernel accepts for a stopping entry and that nobody serves.
#[test]
fn entry_gets_connection_late() {
    block_on(async {
        let mut fleet = start_slow_fleet(1).await;
        let _open = send(&fleet, &Pending::StockCheck.request(&fleet).await).await;
        let late_request = completion(100, 1, false);
        fleet.process("entry-1").signal(Signal::TERM).unwrap();
        sleep(DRAIN_TIME + SETTLE_TIME).await;
        let sent_at = Instant::now();
        let mut connection = RawConnection::open(fleet.caller(1).address()).await.unwrap();
        connection.send(&late_request).await.unwrap();
        let response = connection.read().await;
        let waited = sent_at.elapsed();
        assert_eq!(response.status(), Some(503), "{response:?}");
        assert!(response.has_outcome("not_run"), "{response:?}");
        assert!(waited <= PROMPT_LIMIT, "the response came after {waited:?}");
        let mut unused = RawConnection::open(fleet.caller(1).address()).await.unwrap();
        let unused_response = unused.read().await;
        let unused_time = sent_at.elapsed();
        assert_eq!(unused_response.text, "");
        assert!(unused_time <= 2 * PROMPT_LIMIT, "closed after {unused_time:?}");
    });
}

/// Guards against a caller that keeps the connection of a response from a stopping entry, and sends
/// its next request while the entry closes it.
#[test]
fn entry_closes_connections_while_it_drains() {
    block_on(async {
        let mut fleet = start_slow_fleet(1).await;
        fleet.process("entry-1").signal(Signal::TERM).unwrap();
        sleep(DRAIN_TIME / 4).await;
        let text = completion(10, 1, false).replacen("connection: close\r\n", "", 1);
        let mut connection = RawConnection::open(fleet.caller(1).address()).await.unwrap();
        connection.send(&text).await.unwrap();
        let response = connection.read().await;
        assert_eq!(response.status(), Some(200), "{response:?}");
        assert!(response.text.contains("connection: close\r\n"), "{response:?}");
    });
}

/// Number of requests in progress at the same time.
const MANY: usize = 90;

/// Guards against responses that are still being written when the process ends.
#[test]
fn entry_waits_for_many_requests() {
    block_on(async {
        let mut fleet = start_slow_fleet(1).await;
        let text = Pending::StockCheck.request(&fleet).await;
        let mut connections = Vec::new();
        for _ in 0..MANY {
            let mut connection = RawConnection::open(fleet.caller(1).address()).await.unwrap();
            connection.send(&text).await.unwrap();
            connections.push(connection);
        }
        sleep(SETTLE_TIME).await;
        fleet.process("entry-1").signal(Signal::TERM).unwrap();
        for response in join_all(connections.iter_mut().map(RawConnection::read)).await {
            let outcomes = ["failed", "not_run"];
            let has_outcome = outcomes.iter().any(|outcome| response.has_outcome(outcome));
            assert!(has_outcome, "{response:?}");
        }
    });
}

/// Guards against a prompt that waits until the entry ends, although no engine can begin it before.
#[test]
fn entry_refuses_waiting_prompt_at_once() {
    block_on(async {
        let mut fleet = start_slow_fleet(1).await;
        let _blocker = send(&fleet, &completion(LONG_PROMPT, 1, false)).await;
        let mut waiting = send(&fleet, &completion(LONG_PROMPT + 1, 1, false)).await;
        fleet.process("entry-1").signal(Signal::TERM).unwrap();
        let stopped_at = Instant::now();
        let response = waiting.read().await;
        let waited = stopped_at.elapsed();
        assert_eq!(response.status(), Some(503), "{response:?}");
        assert!(response.has_outcome("not_run"), "{response:?}");
        assert!(waited <= PROMPT_LIMIT, "the response came after {waited:?}");
    });
}

/// Guards against a caller that waits until its deadline for an order whose agent has ended.
#[test]
fn agent_waits_for_order() {
    block_on(async {
        let mut fleet = start_slow_fleet(1).await;
        let text = Pending::Order.request(&fleet).await;
        let mut connection = send(&fleet, &text).await;
        let worker = "worker-1";
        let recorded = eventually("the agent has the key", CONDITION_TIMEOUT, async || {
            (fleet.state(worker).await?["keys"] == 1).then_some(())
        });
        recorded.await.unwrap();
        fleet.agent(worker).signal(Signal::TERM).unwrap();
        let stopped_at = Instant::now();
        let response = connection.read().await;
        let waited = stopped_at.elapsed();
        assert_eq!(response.status(), Some(502), "{response:?}");
        assert!(response.has_outcome("unknown"), "{response:?}");
        assert!(waited <= STOP_TIMEOUT, "the response came after {waited:?}");
        fleet.agent(worker).wait(PROMPT_LIMIT).await.unwrap();
    });
}

/// Number of calls that an agent sends to its application at the same time while it is cold.
const COLD_CAP: usize = 8;

/// Guards against an order that waits for admission until the agent ends.
#[test]
fn agent_refuses_waiting_order_at_once() {
    block_on(async {
        let mut fleet = start_slow_fleet(1).await;
        let mut connections = Vec::new();
        for _ in 0..=COLD_CAP {
            connections.push(send(&fleet, &Pending::Order.request(&fleet).await).await);
        }
        assert_eq!(fleet.state("worker-1").await.unwrap()["keys"], COLD_CAP + 1);
        fleet.agent("worker-1").signal(Signal::TERM).unwrap();
        let stopped_at = Instant::now();
        let response = connections.pop().unwrap().read().await;
        let waited = stopped_at.elapsed();
        assert_eq!(response.status(), Some(503), "{response:?}");
        assert!(response.has_outcome("not_run"), "{response:?}");
        assert!(waited <= PROMPT_LIMIT, "the response came after {waited:?}");
    });
}

/// Guards against a caller that is told that its call has not run, although an agent that has ended
/// had sent it to its target.
#[test]
fn agent_waits_for_stock_check() {
    block_on(async {
        let mut fleet = start_slow_fleet(1).await;
        let text = Pending::StockCheck.request(&fleet).await;
        let limit = STOP_TIMEOUT + 2 * PROMPT_LIMIT;
        let limit_ms = limit.as_millis().to_string();
        let text = text.replacen(&TIME_LIMIT_MS.to_string(), &limit_ms, 1);
        let mut connection = send(&fleet, &text).await;
        fleet.agent("worker-1").signal(Signal::TERM).unwrap();
        let response = connection.read().await;
        assert!(response.has_outcome("failed"), "{response:?}");
    });
}

/// Stops the agent of the engine that has `pending`, and checks that another engine answers and that
/// the agent ends in time.
fn check_agent(pending: Pending) {
    block_on(async {
        let mut fleet = start_slow_fleet(2).await;
        let mut connection = send(&fleet, &pending.request(&fleet).await).await;
        let mut running = None;
        for target in ["engine-1", "engine-2"] {
            let lines = fleet.agent(target).lines();
            if lines.iter().any(|line| line.contains("attempt admitted")) {
                running = Some(target);
            }
        }
        let agent = fleet.agent(running.expect("the prompt is at one engine"));
        agent.signal(Signal::TERM).unwrap();
        let stopped_at = Instant::now();
        agent.wait(2 * STOP_TIMEOUT + PROMPT_LIMIT).await.unwrap();
        let ended_after = stopped_at.elapsed();
        let response = connection.read().await;
        assert_eq!(response.status(), Some(200), "{response:?}");
        assert!(response.text.contains(r#""finish_reason":"length""#), "{response:?}");
        assert!(
            ended_after <= STOP_TIMEOUT + PROMPT_LIMIT,
            "the agent ended after {ended_after:?}"
        );
    });
}

cases! {
    check_agent {
        /// Guards against an agent that waits twice for its work, longer than the platform leaves it.
        agent_waits_for_first_token: (Pending::FirstToken),
        agent_waits_for_first_event: (Pending::FirstEvent),
    }
}
