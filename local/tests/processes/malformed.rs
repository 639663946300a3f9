//! Malformed requests at the callers' address: each gets a problem document and reaches no target.

use crate::support::{ORDERS, start};
use bytes::Bytes;
use hyper::Method;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};
use std::{net::SocketAddr, time::Duration};
use testutils::{
    cases,
    process::{Caller, Fleet, FullResponse, MODEL, Plan, block_on},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::Handle,
    task::spawn_blocking,
    time::timeout,
};

/// Bytes of the largest body that the configuration allows.
const MAX_BODY: usize = 8 << 20;

/// Time in which the entry must give up on a sender; it gives 5 s for headers.
const STALL_LIMIT: Duration = Duration::from_secs(8);

/// Seeds of generated bodies; the same bodies are sent in each run.
const SEEDS: [u64; 2] = [1, 2];

/// Generated bodies for each seed.
const BODIES: u64 = 60;

/// What is sent, and the status and reason that it must get.
struct Case {
    name: &'static str,
    headers: &'static [(&'static str, &'static str)],
    method: Method,
    path: &'static str,
    body: Bytes,
    status: u16,
    reason: &'static str,
}

fn completion(
    name: &'static str,
    body: impl Into<Bytes>,
    status: u16,
    reason: &'static str,
) -> Case {
    let (method, path) = (Method::POST, "/v1/completions");
    Case { name, headers: &[], method, path, body: body.into(), status, reason }
}

fn with_headers(case: Case, headers: &'static [(&'static str, &'static str)]) -> Case {
    Case { headers, ..case }
}

fn call(name: &'static str, path: &'static str, status: u16, reason: &'static str) -> Case {
    let body = Bytes::from_static(b"12 beams");
    Case { name, headers: &[], method: Method::POST, path, body, status, reason }
}

fn valid() -> String {
    format!(r#"{{"model":"{MODEL}","prompt":"hello","max_tokens":5}}"#)
}

fn bodies() -> Vec<Case> {
    let large = vec![b'x'; MAX_BODY + 1];
    let long = format!(r#"{{"model":"{MODEL}","prompt":"hello","max_tokens":2000000}}"#);
    let huge =
        format!(r#"{{"model":"{MODEL}","prompt":"hello","max_tokens":18446744073709551615}}"#);
    let none = format!(r#"{{"model":"{MODEL}","prompt":"hello","max_tokens":0}}"#);
    let negative = format!(r#"{{"model":"{MODEL}","prompt":"hello","max_tokens":-1}}"#);
    let missing = format!(r#"{{"model":"{MODEL}"}}"#);
    let deep = "[".repeat(100_000);
    vec![
        completion("over the size", large, 413, "body_too_large"),
        completion("no JSON", "{", 400, "malformed_request"),
        completion("no UTF-8", &b"{\"model\":\"\xff\"}"[..], 400, "malformed_request"),
        completion("deeply nested", deep, 400, "malformed_request"),
        completion("no prompt", missing, 400, "malformed_request"),
        completion("no tokens", none, 400, "malformed_request"),
        completion("negative tokens", negative, 400, "malformed_request"),
        completion("too many tokens", long, 413, "prompt_too_long"),
        completion("most tokens", huge, 413, "prompt_too_long"),
        completion("unknown model", r#"{"model":"other","prompt":"hello"}"#, 404, "unknown_model"),
    ]
}

fn headers() -> Vec<Case> {
    let completion = |name, status, reason| completion(name, valid(), status, reason);
    let deadline = |name, headers| with_headers(completion(name, 400, "invalid_deadline"), headers);
    let token = |name, headers| with_headers(completion(name, 401, "invalid_token"), headers);
    vec![
        deadline("no time", &[("fulmarhead-deadline-ms", "0")]),
        deadline("negative time", &[("fulmarhead-deadline-ms", "-5")]),
        deadline("endless time", &[("fulmarhead-deadline-ms", "18446744073709551615")]),
        deadline("overflowing time", &[("fulmarhead-deadline-ms", "99999999999999999999999")]),
        deadline("no number", &[("fulmarhead-deadline-ms", "soon")]),
        token("wrong token", &[("authorization", "Bearer other")]),
        token("empty token", &[("authorization", "Bearer ")]),
        token("other scheme", &[("authorization", "Basic cHJvY2VzczpwYXNz")]),
        with_headers(
            completion("malformed position", 400, "malformed_request"),
            &[("last-event-id", "18446744073709551615")],
        ),
    ]
}

fn calls() -> Vec<Case> {
    let keyed = |name, headers| with_headers(call(name, ORDERS, 400, "key_not_issued"), headers);
    vec![
        call("no key", ORDERS, 400, "key_required"),
        keyed("key of the caller", &[("idempotency-key", "order-17")]),
        keyed("empty key", &[("idempotency-key", "")]),
        keyed(
            "key with another UUID version",
            &[(
                "idempotency-key",
                "6f1c2f0e-6f0e-4f5e-9d8b-0a1b2c3d4e5f.worker-1.00000000000000ff",
            )],
        ),
        call("unknown application", "/apps/other/orders", 404, "unknown_application"),
        call("unknown route", "/apps/yard-desk/refunds", 404, "unknown_application"),
        call("unknown path", "/v2/completions", 404, "unknown_application"),
    ]
}

async fn send(caller: &Caller, case: &Case) -> FullResponse {
    let caller =
        case.headers.iter().fold(caller.clone(), |c, (name, value)| c.with_header(name, value));
    let sent = caller.call(case.method.clone(), case.path, case.body.clone()).await;
    sent.unwrap_or_else(|error| panic!("{}: {error}", case.name))
}

/// Checks that targets got no work and that the entry still answers.
async fn check_untouched(fleet: &mut Fleet) {
    for target in ["engine-1", "worker-1"] {
        let lines = fleet.agent(target).lines();
        let admitted = lines.iter().filter(|line| line.contains("attempt admitted")).count();
        let keyed = lines.iter().filter(|line| line.contains("key checked")).count();
        assert_eq!((admitted, keyed), (0, 0), "{target}");
    }
    assert_eq!(fleet.effects().await, []);
    let answer = fleet.caller(1).call(Method::POST, "/v1/completions", valid()).await.unwrap();
    assert_eq!(answer.status, 200);
}

fn plan() -> Plan {
    Plan { entries: 1, engines: 1, workers: 1, ..Plan::default() }
}

fn check_refused(cases: fn() -> Vec<Case>) {
    block_on(async {
        let mut fleet = start(plan()).await;
        for case in cases() {
            let answer = send(&fleet.caller(1), &case).await;
            let told = (answer.status, answer.member("reason"), answer.member("outcome"));
            let expected = (case.status, case.reason.to_owned(), "not_run".to_owned());
            assert_eq!(told, expected, "{}", case.name);
            assert_eq!(answer.media_type, "application/problem+json", "{}", case.name);
        }
        check_untouched(&mut fleet).await;
    });
}

/// Sends the start of a request and nothing more; returns what the entry answers until it closes.
async fn stall(address: SocketAddr, start: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(start.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let read = timeout(STALL_LIMIT, stream.read_to_string(&mut answer)).await;
    read.expect("the entry closes the connection").unwrap();
    answer
}

/// Guards against connections that slow senders hold for good.
#[test]
fn slow_headers_are_closed() {
    block_on(async {
        let mut fleet = start(plan()).await;
        let answer =
            stall(fleet.caller(1).address(), "POST /v1/completions HTTP/1.1\r\nhost: ").await;
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408"), "{answer}");
        check_untouched(&mut fleet).await;
    });
}

/// Guards against a body that stops half-way and keeps its request for good.
#[test]
fn slow_body_is_refused_at_the_time_limit() {
    block_on(async {
        let mut fleet = start(plan()).await;
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
             fulmarhead-deadline-ms: 1000\r\nconnection: close\r\ncontent-length: 100\r\n\r\n{{",
            testutils::process::TOKEN,
        );
        let answer = stall(fleet.caller(1).address(), &head).await;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert!(answer.contains("application/problem+json"), "{answer}");
        check_untouched(&mut fleet).await;
    });
}

/// The rule that a body that is no valid request gets a problem document.
struct Parser {
    caller: Caller,
    path: &'static str,
}

impl Testable for Parser {
    fn result(&self, generator: &mut Gen) -> TestResult {
        let body = generate(generator);
        let sent = self.caller.call(Method::POST, self.path, body.clone());
        match Handle::current().block_on(sent) {
            Ok(answer) if answer.member("reason") == "malformed_request" => TestResult::passed(),
            other => TestResult::error(format!("{:?}: {other:?}", String::from_utf8_lossy(&body))),
        }
    }
}

/// Returns generated bytes, or a valid body with generated bytes in place of its end.
fn generate(generator: &mut Gen) -> Vec<u8> {
    let mut body = valid().into_bytes();
    body.truncate(usize::arbitrary(generator) % body.len());
    if bool::arbitrary(generator) {
        body.clear();
    }
    body.append(&mut Vec::arbitrary(generator));
    // No JSON document ends in this way, so that no generated body is valid by chance.
    body.push(b'!');
    body
}

fn check_generated(path: &'static str) {
    block_on(async {
        let mut fleet = start(plan()).await;
        let caller = fleet.caller(1);
        let checked = spawn_blocking(move || {
            for seed in SEEDS {
                let parser = Parser { caller: caller.clone(), path };
                let check = QuickCheck::new().rng(Gen::from_size_and_seed(64, seed));
                let result = check.tests(BODIES).quicktest(parser);
                result.unwrap_or_else(|failure| panic!("seed {seed}: {failure:?}"));
            }
        });
        checked.await.unwrap();
        check_untouched(&mut fleet).await;
    });
}

cases! {
    check_refused {
        /// Guards against bodies that are accepted although they can't be served.
        bodies_are_refused: (bodies),
        /// Guards against headers that let a request in without team or time limit.
        headers_are_refused: (headers),
        /// Guards against calls that are sent on without a key that names their owner.
        calls_are_refused: (calls),
    }
    check_generated {
        /// Guards against generated bodies that crash the parser or reach a target.
        generated_text_requests: ("/v1/completions"),
        /// Guards against generated bodies that crash the parser or reach a target.
        generated_chat_requests: ("/v1/chat/completions"),
    }
}
