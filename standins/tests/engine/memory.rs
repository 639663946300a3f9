//! Prefix cache, cache events, leases and KV cache on its way between engines.

use crate::calls::{Target, completion, lease, paused, settings};
use axum::{
    body::Body,
    http::{Method, StatusCode},
};
use fulmarhead_lib::ids::RequestId;
use fulmarhead_runtime::platform::engine::{CompletionRequest, PrefillRequest};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use standins::engine::{BLOCK, EngineSettings};
use std::time::Duration;
use testutils::cases;
use tokio::time::sleep;

/// Returns a prompt of four blocks that no other number has.
fn prompt(number: u128) -> CompletionRequest {
    let text = format!("{number:04}").repeat(4 * BLOCK as usize);
    CompletionRequest { prompt: text, ..completion(number, 0, 1) }
}

fn check_cache(cached_blocks: u64, others: u128, bounds_ms: (u64, u64)) {
    paused(async {
        let cache_total = cached_blocks * BLOCK;
        let target = Target::new(EngineSettings { cache_total, ..settings() });
        for number in 0..=others {
            target.run(&prompt(number)).await;
        }
        let again = target.run(&prompt(0)).await[0].at.as_millis() as u64;
        assert!((bounds_ms.0..=bounds_ms.1).contains(&again), "first token after {again} ms");
    });
}

cases! {
    check_cache {
        /// Guards against a cache that saves no prefill, which hides the use of affinity.
        cached_prefix_skips_prefill: (4, 0, (0, 30)),
        partly_cached_prefix_skips_its_part: (2, 0, (500, 550)),
        /// Guards against a cache without a limit.
        least_recently_used_is_evicted: (4, 1, (1_000, 1_100)),
        cache_holds_several_prompts: (8, 1, (0, 30)),
    }
}

fn check_events(loss: f64, expected: usize) {
    paused(async {
        let event_delay = Duration::from_millis(500);
        let settings = EngineSettings { event_delay, event_loss: loss, ..settings() };
        let target = Target::new(settings);
        target.run(&prompt(0)).await;
        let path = "/cache/events?after=0";
        let (_, early) = target.call(Method::GET, path, Value::Null).await;
        assert_eq!(early, json!({ "events": [], "next": 0 }));
        sleep(event_delay).await;
        let (_, late) = target.call(Method::GET, path, Value::Null).await;
        assert_eq!(late["events"].as_array().unwrap().len(), expected);
    });
}

cases! {
    check_events {
        /// Guards against events that show at once.
        events_show_late: (0.0, 4),
        events_can_be_lost: (1.0, 0),
    }
}

fn check_memory(tokens: u64, expected: StatusCode, evicted: usize) {
    paused(async {
        let event_delay = Duration::ZERO;
        let settings = EngineSettings { event_delay, event_loss: 0.0, ..settings() };
        let target = Target::new(settings);
        target.run(&prompt(0)).await;
        let path = format!("/kv/{}", lease(1));
        let (status, _) = target.call(Method::PUT, &path, json!({ "tokens": tokens })).await;
        assert_eq!(status, expected);
        let (_, log) = target.call(Method::GET, "/cache/events?after=4", Value::Null).await;
        assert_eq!(log["events"].as_array().unwrap().len(), evicted);
    });
}

cases! {
    check_memory {
        /// Guards against cached prefixes that keep memory from leases.
        cache_makes_way_for_leases: (20_000, StatusCode::NO_CONTENT, 4),
        engine_refuses_more_than_it_has: (20_001, StatusCode::INSUFFICIENT_STORAGE, 0),
    }
}

/// Guards against a moved KV cache that continues another prompt, and against lost memory.
#[test]
fn exported_cache_continues_on_another_engine() {
    paused(async {
        let (first, second) = (Target::new(settings()), Target::new(settings()));
        let whole = CompletionRequest { prompt: "oak beam".to_owned(), ..completion(9, 0, 5) };
        let expected = first.run(&whole).await;
        let kv = format!("/kv/{}", lease(1));
        for target in [&first, &second] {
            target.call(Method::PUT, &kv, json!({ "tokens": 100 })).await;
        }
        let segment = PrefillRequest {
            prompt: "oak ".to_owned(),
            previous: None,
            request_id: RequestId::from_u128(1),
            priority: 0,
        };
        let segment = serde_json::to_value(segment).unwrap();
        let (status, state) = first.call(Method::POST, &format!("{kv}/prefill"), segment).await;
        assert_eq!(status, StatusCode::OK);
        let (_, bytes) = first.send(Method::GET, &format!("{kv}/export"), Body::empty()).await;
        let bytes = bytes.collect().await.unwrap().to_bytes();
        let import = second.send(Method::PUT, &format!("{kv}/import"), bytes.into()).await;
        assert_eq!(import.0, StatusCode::OK);
        let rest = CompletionRequest {
            prompt: "beam".to_owned(),
            lease: Some(lease(1)),
            previous: state["state"].as_str().map(ToOwned::to_owned),
            ..completion(1, 0, 5)
        };
        let answer = second.run(&rest).await;
        let texts = |items: &[crate::calls::Item]| -> Vec<String> {
            items.iter().map(|item| item.data.clone()).collect()
        };
        assert_eq!(texts(&answer), texts(&expected));
        second.call(Method::DELETE, &kv, Value::Null).await;
        assert_eq!(second.engine.load().kv_used, 0);
    });
}
