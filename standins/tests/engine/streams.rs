//! Streams that lose their connection.

use crate::calls::{Events, Item, Target, completion, is_complete, paused, settings};
use axum::{
    body::Body,
    http::{Method, StatusCode},
};
use serde_json::Value;
use std::time::Duration;
use testutils::cases;
use tokio::time::{Instant, sleep};

fn texts(items: &[Item]) -> Vec<(Option<u64>, String)> {
    items.iter().map(|item| (item.id, item.data.clone())).collect()
}

fn check_resume(away_ms: u64, from: usize, expected: StatusCode) {
    paused(async {
        let target = Target::new(settings());
        let whole = texts(&target.run(&completion(1, 10, 30)).await);
        let call = completion(2, 10, 30);
        let (_, mut events) = target.start(&call).await;
        events.next().await;
        drop(events);
        sleep(Duration::from_millis(away_ms)).await;
        let path = format!("/v1/streams/{}?from={from}", call.request_id);
        let (status, body) = target.send(Method::GET, &path, Body::empty()).await;
        assert_eq!(status, expected);
        if status == StatusCode::OK {
            let mut events = Events::new(Instant::now(), body);
            assert_eq!(texts(&events.rest().await), whole[from..]);
        } else {
            assert_eq!(target.engine.load().kv_used, 0);
        }
    });
}

cases! {
    check_resume {
        /// Guards against a resumed stream that repeats, skips or changes tokens.
        open_stream_continues: (50, 1, StatusCode::OK),
        finished_stream_is_held: (1_500, 1, StatusCode::OK),
        read_tokens_can_be_read_again: (50, 0, StatusCode::OK),
        /// Guards against memory that nobody will ever free.
        stream_ends_after_hold_time: (2_100, 1, StatusCode::NOT_FOUND),
    }
}

/// Guards against a cancelled stream that keeps its memory or looks complete to its reader.
#[test]
fn cancel_frees_memory_and_breaks_the_reader() {
    paused(async {
        let target = Target::new(settings());
        let call = completion(1, 10, 100);
        let (_, mut events) = target.start(&call).await;
        events.next().await;
        assert_eq!(target.engine.load().kv_used, 110);
        let path = format!("/v1/streams/{}", call.request_id);
        let (status, _) = target.call(Method::DELETE, &path, Value::Null).await;
        assert_eq!(status, StatusCode::NO_CONTENT);
        assert!(!is_complete(&events.rest().await));
        assert_eq!(target.engine.load().kv_used, 0);
        let (status, _) = target.call(Method::DELETE, &path, Value::Null).await;
        assert_eq!(status, StatusCode::NOT_FOUND);
    });
}

/// Guards against a new attempt that starts again at the first token.
#[test]
fn completion_starts_at_its_position() {
    paused(async {
        let target = Target::new(settings());
        let whole = texts(&target.run(&completion(1, 10, 20)).await);
        let mut call = completion(2, 10, 20);
        call.position = 7;
        assert_eq!(texts(&target.run(&call).await), whole[7..]);
    });
}
