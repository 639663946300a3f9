//! Tests of cold start, restarts and the reported load.

use crate::calls::{StreamEvent, TestEngine, completion, is_complete, run_paused, settings};
use axum::http::{Method, StatusCode};
use futures::future::join_all;
use serde_json::Value;
use standins::{cold::ColdSettings, engine::EngineSettings};
use std::time::Duration;
use testutils::cases;
use tokio::time::sleep;

fn cold_settings() -> EngineSettings {
    let cold = ColdSettings { starts_cold: true, capacity: 2, growth: 1, warm_after: 4 };
    EngineSettings { cold, ..settings() }
}

async fn run_concurrently(target: &TestEngine, count: u128) -> Vec<Vec<StreamEvent>> {
    let calls: Vec<_> = (0..count).map(|number| completion(number, 1, 5)).collect();
    join_all(calls.iter().map(|call| target.run(call))).await
}

fn check_cold(finished: u128, reset_warmup: bool, concurrent: u128, restarts: u64) {
    run_paused(async {
        let target = TestEngine::new(cold_settings());
        for number in 0..finished {
            target.run(&completion(number, 1, 1)).await;
        }
        if reset_warmup {
            target.call(Method::POST, "/debug/cold", Value::Null).await;
        }
        let responses = run_concurrently(&target, concurrent).await;
        assert_eq!(target.engine.load().restarts, restarts);
        assert_eq!(responses.iter().all(|events| is_complete(events)), restarts == 0);
        assert_eq!(target.engine.load().kv_used, 0);
    });
}

cases! {
    check_cold {
        cold_engine_serves_its_capacity: (0, false, 2, 0),
        /// Guards against a stand-in that tolerates more requests than a cold engine can serve,
        /// which would hide an overload by the fleet.
        cold_engine_restarts_above_capacity: (0, false, 3, 1),
        finished_requests_raise_capacity: (2, false, 4, 0),
        warm_engine_has_no_cold_limit: (4, false, 20, 0),
        warm_engine_can_become_cold: (4, true, 3, 1),
    }
}

/// Guards against load figures that are reported without lag, or restarts that are reported late.
#[test]
fn load_lags_but_restart_count_does_not() {
    run_paused(async {
        let lag = Duration::from_millis(300);
        let target = TestEngine::new(EngineSettings { load_lag: lag, ..settings() });
        let (_, mut events) = target.start(&completion(1, 10, 1_000)).await;
        sleep(Duration::from_millis(200)).await;
        assert_eq!(target.engine.load().kv_used, 0);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(target.engine.load().kv_used, 1_010);
        target.engine.restart();
        assert_eq!((target.engine.load().restarts, target.engine.load().kv_used), (1, 1_010));
        assert!(!is_complete(&events.read_remaining().await));
        sleep(lag).await;
        assert_eq!(target.engine.load().kv_used, 0);
    });
}

/// Guards against a warm engine that accepts more requests than its limit.
#[test]
fn warm_engine_refuses_above_limit() {
    run_paused(async {
        let target = TestEngine::new(EngineSettings { max_requests: 1, ..settings() });
        let (_, events) = target.start(&completion(1, 10, 100)).await;
        let (status, _) = target.start(&completion(2, 10, 100)).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        drop(events);
    });
}
