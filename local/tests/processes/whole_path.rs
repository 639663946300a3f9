//! Path of requests from callers through entries and agents to targets.

use crate::support::{
    CONDITION_TIMEOUT, ORDERS_PATH, event_contents, expected_events, expected_text, prompt,
    response_text, start_fleet,
};
use hyper::Method;
use testutils::{
    cases,
    process::{Plan, block_on},
};

/// Checks a streamed and a complete response to a prompt of `tokens` tokens at both entries.
fn check_completion(tokens: usize) {
    block_on(async {
        let fleet = start_fleet(Plan::default()).await;
        let prompt = prompt(1, tokens);
        for entry in [1, 2] {
            let caller = fleet.caller(entry);
            let mut stream = caller.stream(&prompt, 40).await.unwrap();
            let events = stream.read_to_end().await.unwrap();
            assert_eq!(event_contents(&events), expected_events(&prompt, 40, 0));
            let response = caller.complete(&prompt, 40).await.unwrap();
            assert_eq!(
                (response.status, response_text(&response)),
                (200, expected_text(&prompt, 40))
            );
        }
        fleet.wait_memory_free(CONDITION_TIMEOUT).await.unwrap();
    });
}

/// Guards against a second effect of an order that the caller repeats after its response.
#[test]
fn order_sent_twice_has_one_effect() {
    block_on(async {
        let fleet = start_fleet(Plan::default()).await;
        let caller = fleet.caller(1);
        let key = caller.issue_key("yard-desk").await.unwrap();
        let caller = caller.with_header("idempotency-key", &key);
        let first = caller.call(Method::POST, ORDERS_PATH, "12 beams").await.unwrap();
        let second = caller.call(Method::POST, ORDERS_PATH, "12 beams").await.unwrap();
        assert_eq!((first.status, &first), (201, &second));
        let effects = fleet.effects().await;
        assert_eq!(effects.len(), 1);
        assert_eq!((&effects[0].key, &*effects[0].body), (&key, "12 beams"));
    });
}

cases! {
    check_completion {
        /// Guards against a fleet whose processes can't reach each other.
        small_prompt_is_answered: (50),
        /// Guards against refusing a prompt that is larger than the memory of one engine, and
        /// against a response to only part of it.
        prompt_larger_than_two_engines_is_answered: (110_000),
    }
}
