//! Tests of streams that lose their connection.

use crate::calls::{
    Events, StreamEvent, TestEngine, completion, is_complete, run_paused, settings,
};
use axum::{
    body::Body,
    http::{Method, StatusCode},
};
use serde_json::Value;
use std::time::Duration;
use testutils::cases;
use tokio::time::{Instant, sleep};

fn ids_and_data(events: &[StreamEvent]) -> Vec<(Option<u64>, String)> {
    events.iter().map(|event| (event.id, event.data.clone())).collect()
}

fn check_resume(disconnected_ms: u64, from: usize, expected: StatusCode) {
    run_paused(async {
        let target = TestEngine::new(settings());
        let expected_events = ids_and_data(&target.run(&completion(1, 10, 30)).await);
        let call = completion(2, 10, 30);
        let (_, mut events) = target.start(&call).await;
        events.next().await;
        drop(events);
        sleep(Duration::from_millis(disconnected_ms)).await;
        let path = format!("/v1/streams/{}?from={from}", call.request_id);
        let (status, body) = target.send(Method::GET, &path, Body::empty()).await;
        assert_eq!(status, expected);
        if status == StatusCode::OK {
            let mut events = Events::new(Instant::now(), body);
            assert_eq!(ids_and_data(&events.read_remaining().await), expected_events[from..]);
        } else {
            assert_eq!(target.engine.load().kv_used, 0);
        }
    });
}

cases! {
    check_resume {
        /// Guards against a resumed stream that repeats, skips or changes tokens.
        unfinished_stream_is_resumed: (50, 1, StatusCode::OK),
        finished_stream_is_kept: (1_500, 1, StatusCode::OK),
        tokens_can_be_read_again: (50, 0, StatusCode::OK),
        /// Guards against an abandoned stream that never releases its memory.
        stream_ends_after_reconnect_timeout: (2_100, 1, StatusCode::NOT_FOUND),
    }
}

/// Guards against a cancelled stream that keeps its memory or appears complete to its reader.
#[test]
fn cancel_frees_memory_and_aborts_reader() {
    run_paused(async {
        let target = TestEngine::new(settings());
        let call = completion(1, 10, 100);
        let (_, mut events) = target.start(&call).await;
        events.next().await;
        assert_eq!(target.engine.load().kv_used, 110);
        let path = format!("/v1/streams/{}", call.request_id);
        let (status, _) = target.call(Method::DELETE, &path, Value::Null).await;
        assert_eq!(status, StatusCode::NO_CONTENT);
        assert!(!is_complete(&events.read_remaining().await));
        assert_eq!(target.engine.load().kv_used, 0);
        let (status, _) = target.call(Method::DELETE, &path, Value::Null).await;
        assert_eq!(status, StatusCode::NOT_FOUND);
    });
}

/// Guards against a retried completion that starts again at the first token.
#[test]
fn completion_starts_at_its_position() {
    run_paused(async {
        let target = TestEngine::new(settings());
        let expected_events = ids_and_data(&target.run(&completion(1, 10, 20)).await);
        let mut call = completion(2, 10, 20);
        call.position = 7;
        assert_eq!(ids_and_data(&target.run(&call).await), expected_events[7..]);
    });
}
