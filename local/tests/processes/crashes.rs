//! Prompts that crash the engines that answer them.

use crate::support::{expected_text, prompt, response_text, start_fleet, wait_admitted};
use testutils::process::{Plan, block_on};

/// Text of prompts at which each engine restarts.
const CRASH_TEXT: &str = "crash here";

/// Number of engines that one request may crash.
const MAX_CRASHES: usize = 2;

const ENGINES: usize = 6;

const TOKENS: u64 = 20;

/// Guards against a prompt that is carried from engine to engine until its deadline, and crashes
/// each.
#[test]
fn crashing_prompt_reaches_few_engines() {
    block_on(async {
        let crash_text = Some(CRASH_TEXT.to_owned());
        let plan = Plan { engines: ENGINES, workers: 0, crash_text, ..Plan::default() };
        let mut fleet = start_fleet(plan).await;
        let caller = fleet.caller(1);
        // The retry budget is a share of the requests.
        for seed in 0..100 {
            caller.complete(&prompt(seed, 50), TOKENS).await.unwrap();
        }
        let mut before = 0;
        for number in 1..=ENGINES {
            before += wait_admitted(&mut fleet, &format!("engine-{number}")).await;
        }
        let crashing = format!("{}{CRASH_TEXT}", prompt(1, 50));
        let response = caller.complete(&crashing, TOKENS).await.unwrap();
        assert_eq!(response.status_and_outcome(), (502, "failed".to_owned()));
        let mut after = 0;
        for number in 1..=ENGINES {
            after += wait_admitted(&mut fleet, &format!("engine-{number}")).await;
        }
        assert!(after - before <= MAX_CRASHES, "sent to engines {} times", after - before);
        let sound = prompt(200, 50);
        let response = caller.complete(&sound, TOKENS).await.unwrap();
        assert_eq!(response_text(&response), expected_text(&sound, TOKENS));
    });
}
