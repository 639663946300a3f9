//! Tests of prompts that do not fit in the KV cache of one engine.

use crate::fixture::{Fixture, IDLE_LOAD, engine, long_prompt};
use fulmarhead_lib::placement::{Choice, LoadDelta, ReportSource, RequestProfile, TargetLoad};
use std::collections::{BTreeMap, BTreeSet};
use testutils::cases;

/// Checks how many helpers hold a part of the KV cache of an oversized prompt, with `engines`
/// engines of which `busy` have a request. `expected` is `None` if the prompt has to wait.
fn check_oversized_prompt(prompt_tokens: u64, engines: u8, busy: u8, expected: Option<usize>) {
    let numbers: Vec<u8> = (1..=engines).collect();
    let mut fixture = Fixture::new(&numbers);
    let load = TargetLoad { requests: 1, kv_tokens: 100_000, ..IDLE_LOAD };
    let loads: BTreeMap<_, _> =
        numbers.iter().take(busy.into()).map(|number| (format!("t{number}"), load)).collect();
    let now = fixture.now();
    fixture.pool.update_report(ReportSource::Relay, 1, &LoadDelta::between(None, &loads), now);
    let profile = RequestProfile { prompt_tokens, ..long_prompt() };
    let choice = fixture.choose(&profile).ok();
    assert_eq!(choice.as_ref().map(|choice| held_tokens(choice).len()), expected);
    let Some(choice) = choice else { return };
    let parts: u64 = held_tokens(&choice).iter().sum();
    let rest = prompt_tokens + profile.output_tokens - parts;
    assert!(
        rest <= engine().kv_capacity
            && held_tokens(&choice).iter().all(|&tokens| tokens <= engine().kv_capacity)
    );
    let prefilling = choice.helpers.iter().map(|helper| &helper.target).chain([&choice.target]);
    assert!(prefilling.clone().all(|target| !loads.contains_key(target)));
    assert_eq!(prefilling.collect::<BTreeSet<_>>().len(), choice.helpers.len() + 1);
}

/// Returns the numbers of tokens that the helpers hold.
fn held_tokens(choice: &Choice) -> Vec<u64> {
    choice
        .helpers
        .iter()
        .map(|helper| helper.held_tokens)
        .filter(|&held_tokens| held_tokens > 0)
        .collect()
}

cases! {
    check_oversized_prompt {
        /// Guards against rejecting a prompt that fits in the memory of several engines together.
        two_holders: (400_000, 30, 0, Some(1)),
        three_holders: (700_000, 60, 0, Some(2)),
        /// Guards against placing an oversized prompt on engines that have other requests.
        busy_engines_are_skipped: (400_000, 30, 10, Some(1)),
        /// Guards against an oversized prompt that leaves no idle engines for other requests.
        too_few_idle_engines: (400_000, 21, 12, None),
        /// Guards against a placement that exceeds the memory of the engines.
        too_large_for_all_engines: (1_000_000, 3, 0, None),
    }
}
