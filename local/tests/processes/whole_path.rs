//! The whole path from callers over entries and agents to targets.

use crate::support::{ORDERS, SOON, answer_text, contents, expected, prompt, start, text};
use hyper::Method;
use testutils::{
    cases,
    process::{Plan, block_on},
};

/// A streamed and a whole completion of `tokens` prompt tokens at both entries.
fn check_completion(tokens: usize) {
    block_on(async {
        let fleet = start(Plan::default()).await;
        let prompt = prompt(1, tokens);
        for entry in [1, 2] {
            let caller = fleet.caller(entry);
            let mut stream = caller.stream(&prompt, 40).await.unwrap();
            let events = stream.read_to_end().await.unwrap();
            assert_eq!(contents(&events), expected(&prompt, 40, 0));
            let whole = caller.complete(&prompt, 40).await.unwrap();
            assert_eq!((whole.status, answer_text(&whole)), (200, text(&prompt, 40)));
        }
        fleet.wait_memory_free(SOON).await.unwrap();
    });
}

/// Guards against a second effect of an order that is sent again after its answer.
#[test]
fn order_sent_twice_has_one_effect() {
    block_on(async {
        let fleet = start(Plan::default()).await;
        let caller = fleet.caller(1);
        let key = caller.issue_key("yard-desk").await.unwrap();
        let caller = caller.with_header("idempotency-key", &key);
        let first = caller.call(Method::POST, ORDERS, "12 beams").await.unwrap();
        let second = caller.call(Method::POST, ORDERS, "12 beams").await.unwrap();
        assert_eq!((first.status, &first), (201, &second));
        let effects = fleet.effects().await;
        assert_eq!(effects.len(), 1);
        assert_eq!((&effects[0].key, &*effects[0].body), (&key, "12 beams"));
    });
}

cases! {
    check_completion {
        /// Guards against a fleet whose processes don't find each other.
        small_prompt_is_answered: (50),
        /// Guards against a prompt that is refused, or answered from a part of it, because no
        /// engine holds it alone.
        prompt_larger_than_two_engines_is_answered: (110_000),
    }
}
