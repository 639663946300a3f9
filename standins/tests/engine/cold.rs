//! Cold start, restarts and the load that an engine reports.

use crate::calls::{Item, Target, completion, is_complete, paused, settings};
use axum::http::{Method, StatusCode};
use futures::future::join_all;
use serde_json::Value;
use standins::{cold::ColdSettings, engine::EngineSettings};
use std::time::Duration;
use testutils::cases;
use tokio::time::sleep;

fn cold() -> EngineSettings {
    let cold = ColdSettings { at_start: true, capacity: 2, growth: 1, warm_after: 4 };
    EngineSettings { cold, ..settings() }
}

async fn run_together(target: &Target, count: u128) -> Vec<Vec<Item>> {
    let calls: Vec<_> = (0..count).map(|number| completion(number, 1, 5)).collect();
    join_all(calls.iter().map(|call| target.run(call))).await
}

fn check_cold(finished: u128, made_cold: bool, together: u128, restarts: u64) {
    paused(async {
        let target = Target::new(cold());
        for number in 0..finished {
            target.run(&completion(number, 1, 1)).await;
        }
        if made_cold {
            target.call(Method::POST, "/debug/cold", Value::Null).await;
        }
        let answers = run_together(&target, together).await;
        assert_eq!(target.engine.load().restarts, restarts);
        assert_eq!(answers.iter().all(|items| is_complete(items)), restarts == 0);
        assert_eq!(target.engine.load().kv_used, 0);
    });
}

cases! {
    check_cold {
        cold_engine_carries_a_few: (0, false, 2, 0),
        /// Guards against a stand-in that forgives a fleet that floods a cold engine.
        cold_engine_restarts_with_more: (0, false, 3, 1),
        engine_warms_with_finished_work: (2, false, 4, 0),
        warm_engine_carries_many: (4, false, 20, 0),
        warm_engine_can_turn_cold: (4, true, 3, 1),
    }
}

/// Guards against a load that shows everything at once, or a restart that shows late.
#[test]
fn load_lags_and_restarts_do_not() {
    paused(async {
        let lag = Duration::from_millis(300);
        let target = Target::new(EngineSettings { load_lag: lag, ..settings() });
        let (_, mut events) = target.start(&completion(1, 10, 1_000)).await;
        sleep(Duration::from_millis(200)).await;
        assert_eq!(target.engine.load().kv_used, 0);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(target.engine.load().kv_used, 1_010);
        target.engine.restart();
        assert_eq!((target.engine.load().restarts, target.engine.load().kv_used), (1, 1_010));
        assert!(!is_complete(&events.rest().await));
        sleep(lag).await;
        assert_eq!(target.engine.load().kv_used, 0);
    });
}

/// Guards against an engine that takes more than it can carry instead of refusing.
#[test]
fn warm_engine_refuses_too_many() {
    paused(async {
        let target = Target::new(EngineSettings { max_requests: 1, ..settings() });
        let (_, events) = target.start(&completion(1, 10, 100)).await;
        let (status, _) = target.start(&completion(2, 10, 100)).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        drop(events);
    });
}
