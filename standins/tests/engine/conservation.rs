//! Property test of KV cache accounting over random call sequences with fixed seeds.

use crate::calls::{completion, lease, run_paused, settings};
use axum::{
    body::Body,
    http::{Method, Request, header::CONTENT_TYPE},
};
use fulmarhead_lib::clock::SharedClock;
use quickcheck::{Arbitrary, Gen};
use serde_json::json;
use standins::engine::{Engine, EngineSettings};
use std::{sync::Arc, time::Duration};
use testutils::ManualClock;
use tower::ServiceExt;

/// Number of call sequences; the index of a sequence is its seed.
const SEQUENCES: u64 = 60;

#[derive(Clone, Debug)]
enum Step {
    Complete { request: u8, prompt: u8, output: u8, leased: bool },
    Cancel(u8),
    Allocate { lease: u8, tokens: u16 },
    Free(u8),
    Advance(u8),
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..=5 => Self::Complete {
                request: u8::arbitrary(g) % 8,
                prompt: u8::arbitrary(g),
                output: u8::arbitrary(g),
                leased: bool::arbitrary(g),
            },
            6..=7 => Self::Cancel(u8::arbitrary(g) % 8),
            8..=9 => {
                Self::Allocate { lease: u8::arbitrary(g) % 4, tokens: u16::arbitrary(g) % 2_000 }
            }
            10..=11 => Self::Free(u8::arbitrary(g) % 4),
            12..=14 => Self::Advance(u8::arbitrary(g)),
            _ => Self::Restart,
        }
    }
}

/// Returns method, path and body of a step that is a call.
fn request_of(step: &Step) -> Option<(Method, String, String)> {
    let kv = |number: u8| format!("/kv/{}", lease(number.into()));
    match *step {
        Step::Complete { request, prompt, output, leased } => {
            let mut call = completion(request.into(), prompt.into(), output.into());
            call.lease = leased.then(|| lease((request % 4).into()));
            let body = serde_json::to_string(&call).unwrap();
            Some((Method::POST, "/v1/completions".to_owned(), body))
        }
        Step::Cancel(request) => {
            let id = completion(request.into(), 0, 0).request_id;
            Some((Method::DELETE, format!("/v1/streams/{id}"), String::new()))
        }
        Step::Allocate { lease, tokens } => {
            Some((Method::PUT, kv(lease), json!({ "tokens": tokens }).to_string()))
        }
        Step::Free(lease) => Some((Method::DELETE, kv(lease), String::new())),
        Step::Advance(_) | Step::Restart => None,
    }
}

/// Guards against memory that is leaked, released twice or allocated beyond the total.
///
/// Each response is dropped at once, so that every stream loses its reader.
#[test]
fn memory_is_never_leaked() {
    for seed in 0..SEQUENCES {
        let steps = Vec::<Step>::arbitrary(&mut Gen::from_size_and_seed(80, seed));
        run_paused(async {
            let clock = Arc::new(ManualClock::default());
            let settings = EngineSettings { kv_total: 2_000, cache_total: 1_024, ..settings() };
            let engine = Engine::with_clock(settings, Arc::clone(&clock) as SharedClock);
            for step in &steps {
                if let Some((method, path, body)) = request_of(step) {
                    let request = Request::builder().method(method).uri(path);
                    let request = request.header(CONTENT_TYPE, "application/json");
                    let request = request.body(Body::from(body)).unwrap();
                    drop(engine.router().oneshot(request).await.unwrap());
                }
                match step {
                    Step::Advance(tens_of_ms) => {
                        clock.advance(Duration::from_millis(10) * (*tens_of_ms).into())
                    }
                    Step::Restart => engine.restart(),
                    _ => {}
                }
                assert!(engine.load().kv_used <= 2_000, "seed {seed}: {steps:?}");
            }
            clock.advance(Duration::from_secs(60));
            let leased: u64 = engine.allocations().iter().map(|lease| lease.tokens).sum();
            assert_eq!(engine.load().kv_used, leased, "seed {seed}: {steps:?}");
        });
    }
}
