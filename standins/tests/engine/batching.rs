//! Tests of continuous batching and of prefill by priority.

use crate::calls::{TestEngine, completion, run_paused, settings};
use futures::future::join_all;
use std::time::Duration;
use testutils::cases;
use tokio::time::sleep;

fn check_token_time(streams: u128, expected_ms: u64) {
    run_paused(async {
        let target = TestEngine::new(settings());
        let calls: Vec<_> = (0..streams).map(|number| completion(number, 1, 40)).collect();
        let responses = join_all(calls.iter().map(|call| target.run(call))).await;
        let gap = responses[0][30].at - responses[0][29].at;
        assert_eq!(gap, Duration::from_millis(expected_ms));
    });
}

fn check_first_token(priority: u8, bounds_ms: (u64, u64)) {
    run_paused(async {
        let target = TestEngine::new(settings());
        let long = completion(1, 8_000, 1);
        let short = async {
            sleep(Duration::from_secs(1)).await;
            let call = fulmarhead_runtime::platform::engine::CompletionRequest {
                priority,
                ..completion(2, 10, 1)
            };
            target.run(&call).await[0].at
        };
        let (first, _) = tokio::join!(short, target.run(&long));
        let (lower, upper) = bounds_ms;
        let range = Duration::from_millis(lower)..=Duration::from_millis(upper);
        assert!(range.contains(&first), "first token after {first:?}, not within {range:?}");
    });
}

cases! {
    check_token_time {
        single_stream_has_base_step_time: (1, 10),
        /// Guards against further streams that slow down no step, which would hide the cost of
        /// filling an engine.
        each_further_stream_adds_slope: (5, 18),
    }
    check_first_token {
        /// Guards against a short prompt that waits until a long one is completely prefilled.
        better_priority_is_prefilled_first: (0, (10, 150)),
        same_priority_waits_in_order: (1, (7_000, 7_100)),
    }
}
