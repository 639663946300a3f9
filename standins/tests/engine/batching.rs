//! Continuous batching and prefill by priority.

use crate::calls::{Target, completion, paused, settings};
use futures::future::join_all;
use std::time::Duration;
use testutils::cases;
use tokio::time::sleep;

fn check_token_time(streams: u128, expected_ms: u64) {
    paused(async {
        let target = Target::new(settings());
        let calls: Vec<_> = (0..streams).map(|number| completion(number, 1, 40)).collect();
        let answers = join_all(calls.iter().map(|call| target.run(call))).await;
        let gap = answers[0][30].at - answers[0][29].at;
        assert_eq!(gap, Duration::from_millis(expected_ms));
    });
}

fn check_first_token(priority: u8, bounds_ms: (u64, u64)) {
    paused(async {
        let target = Target::new(settings());
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
        let (low, high) = bounds_ms;
        let range = Duration::from_millis(low)..=Duration::from_millis(high);
        assert!(range.contains(&first), "first token after {first:?}, not within {range:?}");
    });
}

cases! {
    check_token_time {
        one_stream_has_the_base_time: (1, 10),
        /// Guards against a batch that costs nothing, which hides the price of packing an engine.
        each_further_stream_adds_the_slope: (5, 18),
    }
    check_first_token {
        /// Guards against a short prompt that waits for the whole of a long one.
        better_priority_goes_first: (0, (10, 150)),
        same_priority_waits_its_turn: (1, (7_000, 7_100)),
    }
}
