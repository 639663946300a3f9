//! Malformed requests of callers, which get a problem document and reach no target.

use crate::support::{ORDERS_PATH, start_fleet};
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

/// Largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Time within which the entry has to close a stalled connection; its timeout for headers is 5 s.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Seeds of the generated bodies, so that each run sends the same bodies.
const SEEDS: [u64; 2] = [1, 2];

/// Number of generated bodies for each seed.
const BODIES: u64 = 60;

/// Malformed request, with the status and reason of the expected refusal.
struct MalformedRequest {
    name: &'static str,
    headers: &'static [(&'static str, &'static str)],
    method: Method,
    path: &'static str,
    body: Bytes,
    status: u16,
    reason: &'static str,
}

/// Returns a request for a completion with `body`.
fn completion(
    name: &'static str,
    body: impl Into<Bytes>,
    status: u16,
    reason: &'static str,
) -> MalformedRequest {
    let (method, path) = (Method::POST, "/v1/completions");
    MalformedRequest { name, headers: &[], method, path, body: body.into(), status, reason }
}

fn with_headers(
    case: MalformedRequest,
    headers: &'static [(&'static str, &'static str)],
) -> MalformedRequest {
    MalformedRequest { headers, ..case }
}

/// Returns a call of the application.
fn call(
    name: &'static str,
    path: &'static str,
    status: u16,
    reason: &'static str,
) -> MalformedRequest {
    let body = Bytes::from_static(b"12 beams");
    MalformedRequest { name, headers: &[], method: Method::POST, path, body, status, reason }
}

fn valid_body() -> String {
    format!(r#"{{"model":"{MODEL}","prompt":"hello","max_tokens":5}}"#)
}

fn malformed_bodies() -> Vec<MalformedRequest> {
    let oversized = vec![b'x'; MAX_BODY_BYTES + 1];
    let too_many_tokens = format!(r#"{{"model":"{MODEL}","prompt":"hello","max_tokens":2000000}}"#);
    let most_tokens =
        format!(r#"{{"model":"{MODEL}","prompt":"hello","max_tokens":18446744073709551615}}"#);
    let zero_tokens = format!(r#"{{"model":"{MODEL}","prompt":"hello","max_tokens":0}}"#);
    let negative_tokens = format!(r#"{{"model":"{MODEL}","prompt":"hello","max_tokens":-1}}"#);
    let no_prompt = format!(r#"{{"model":"{MODEL}"}}"#);
    let deeply_nested = "[".repeat(100_000);
    vec![
        completion("over the size limit", oversized, 413, "body_too_large"),
        completion("invalid JSON", "{", 400, "malformed_request"),
        completion("invalid UTF-8", &b"{\"model\":\"\xff\"}"[..], 400, "malformed_request"),
        completion("deeply nested", deeply_nested, 400, "malformed_request"),
        completion("no prompt", no_prompt, 400, "malformed_request"),
        completion("no tokens", zero_tokens, 400, "malformed_request"),
        completion("negative tokens", negative_tokens, 400, "malformed_request"),
        completion("too many tokens", too_many_tokens, 413, "prompt_too_long"),
        completion("most tokens", most_tokens, 413, "prompt_too_long"),
        completion("unknown model", r#"{"model":"other","prompt":"hello"}"#, 404, "unknown_model"),
    ]
}

fn malformed_headers() -> Vec<MalformedRequest> {
    let completion = |name, status, reason| completion(name, valid_body(), status, reason);
    let deadline = |name, headers| with_headers(completion(name, 400, "invalid_deadline"), headers);
    let token = |name, headers| with_headers(completion(name, 401, "invalid_token"), headers);
    vec![
        deadline("zero deadline", &[("fulmarhead-deadline-ms", "0")]),
        deadline("negative deadline", &[("fulmarhead-deadline-ms", "-5")]),
        deadline("largest deadline", &[("fulmarhead-deadline-ms", "18446744073709551615")]),
        deadline("overflowing deadline", &[("fulmarhead-deadline-ms", "99999999999999999999999")]),
        deadline("non-numeric deadline", &[("fulmarhead-deadline-ms", "soon")]),
        token("wrong token", &[("authorization", "Bearer other")]),
        token("empty token", &[("authorization", "Bearer ")]),
        token("other scheme", &[("authorization", "Basic cHJvY2VzczpwYXNz")]),
        with_headers(
            completion("malformed event id", 400, "malformed_request"),
            &[("last-event-id", "18446744073709551615")],
        ),
    ]
}

fn malformed_calls() -> Vec<MalformedRequest> {
    let keyed =
        |name, headers| with_headers(call(name, ORDERS_PATH, 400, "key_not_issued"), headers);
    vec![
        call("no key", ORDERS_PATH, 400, "key_required"),
        keyed("key chosen by the caller", &[("idempotency-key", "order-17")]),
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

async fn send(caller: &Caller, case: &MalformedRequest) -> FullResponse {
    let caller = case
        .headers
        .iter()
        .fold(caller.clone(), |caller, (name, value)| caller.with_header(name, value));
    let response = caller.call(case.method.clone(), case.path, case.body.clone()).await;
    response.unwrap_or_else(|error| panic!("{}: {error}", case.name))
}

/// Checks that no target got a request and that the entry still serves valid ones.
async fn check_not_forwarded(fleet: &mut Fleet) {
    for target in ["engine-1", "worker-1"] {
        let lines = fleet.agent(target).lines();
        let admitted = lines.iter().filter(|line| line.contains("attempt admitted")).count();
        let calls = lines.iter().filter(|line| line.contains("key checked")).count();
        assert_eq!((admitted, calls), (0, 0), "{target}");
    }
    assert_eq!(fleet.effects().await, []);
    let response =
        fleet.caller(1).call(Method::POST, "/v1/completions", valid_body()).await.unwrap();
    assert_eq!(response.status, 200);
}

fn plan() -> Plan {
    Plan { entries: 1, engines: 1, workers: 1, ..Plan::default() }
}

fn check_refused(cases: fn() -> Vec<MalformedRequest>) {
    block_on(async {
        let mut fleet = start_fleet(plan()).await;
        for case in cases() {
            let response = send(&fleet.caller(1), &case).await;
            let refusal = (response.status, response.member("reason"), response.member("outcome"));
            let expected = (case.status, case.reason.to_owned(), "not_run".to_owned());
            assert_eq!(refusal, expected, "{}", case.name);
            assert_eq!(response.media_type, "application/problem+json", "{}", case.name);
        }
        check_not_forwarded(&mut fleet).await;
    });
}

/// Sends the start of a request, waits until the entry closes the connection, and returns its
/// response.
async fn send_partial(address: SocketAddr, start: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(start.as_bytes()).await.unwrap();
    let mut response = String::new();
    let read = timeout(CLOSE_TIMEOUT, stream.read_to_string(&mut response)).await;
    read.expect("the entry closes the connection").unwrap();
    response
}

/// Guards against connections that stay open because their sender never completes the headers.
#[test]
fn slow_headers_are_closed() {
    block_on(async {
        let mut fleet = start_fleet(plan()).await;
        let response =
            send_partial(fleet.caller(1).address(), "POST /v1/completions HTTP/1.1\r\nhost: ")
                .await;
        assert!(response.is_empty() || response.starts_with("HTTP/1.1 408"), "{response}");
        check_not_forwarded(&mut fleet).await;
    });
}

/// Guards against requests that stay open because their body is never completed.
#[test]
fn slow_body_is_refused_at_the_time_limit() {
    block_on(async {
        let mut fleet = start_fleet(plan()).await;
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
             fulmarhead-deadline-ms: 1000\r\nconnection: close\r\ncontent-length: 100\r\n\r\n{{",
            testutils::process::TOKEN,
        );
        let response = send_partial(fleet.caller(1).address(), &head).await;
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        assert!(response.contains("application/problem+json"), "{response}");
        check_not_forwarded(&mut fleet).await;
    });
}

/// Property that each generated malformed body is refused as a malformed request.
struct MalformedBodyRefused {
    caller: Caller,
    path: &'static str,
}

impl Testable for MalformedBodyRefused {
    fn result(&self, generator: &mut Gen) -> TestResult {
        let body = generate_body(generator);
        let response = self.caller.call(Method::POST, self.path, body.clone());
        match Handle::current().block_on(response) {
            Ok(response) if response.member("reason") == "malformed_request" => {
                TestResult::passed()
            }
            other => TestResult::error(format!("{:?}: {other:?}", String::from_utf8_lossy(&body))),
        }
    }
}

/// Returns generated bytes, or a valid body whose end is replaced by generated bytes.
fn generate_body(generator: &mut Gen) -> Vec<u8> {
    let mut body = valid_body().into_bytes();
    body.truncate(usize::arbitrary(generator) % body.len());
    if bool::arbitrary(generator) {
        body.clear();
    }
    body.append(&mut Vec::arbitrary(generator));
    // No JSON document ends with `!`, so no generated body is valid by chance.
    body.push(b'!');
    body
}

fn check_generated(path: &'static str) {
    block_on(async {
        let mut fleet = start_fleet(plan()).await;
        let caller = fleet.caller(1);
        let checked = spawn_blocking(move || {
            for seed in SEEDS {
                let property = MalformedBodyRefused { caller: caller.clone(), path };
                let check = QuickCheck::new().rng(Gen::from_size_and_seed(64, seed));
                let result = check.tests(BODIES).quicktest(property);
                result.unwrap_or_else(|failure| panic!("seed {seed}: {failure:?}"));
            }
        });
        checked.await.unwrap();
        check_not_forwarded(&mut fleet).await;
    });
}

cases! {
    check_refused {
        /// Guards against accepting bodies that can't be served.
        bodies_are_refused: (malformed_bodies),
        /// Guards against accepting a request without a valid team or time limit.
        headers_are_refused: (malformed_headers),
        /// Guards against forwarding calls without a key that names their owner.
        calls_are_refused: (malformed_calls),
    }
    check_generated {
        /// Guards against generated bodies that crash the parser or reach a target.
        generated_text_requests: ("/v1/completions"),
        /// Guards against generated bodies that crash the parser or reach a target.
        generated_chat_requests: ("/v1/chat/completions"),
    }
}
