//! Prompts over the memory of one engine.

use crate::fixture::{Fixture, IDLE, engine, long};
use fulmarhead_lib::placement::{Choice, LoadChanges, Need, TargetLoad};
use std::collections::{BTreeMap, BTreeSet};
use testutils::cases;

/// A prompt over the memory of one engine, among `engines` of which `busy` have a request, and how
/// many engines hold a part of it beside the first; none if it has to wait.
fn check_shared(prompt: u64, engines: u8, busy: u8, expected: Option<usize>) {
    let numbers: Vec<u8> = (1..=engines).collect();
    let mut fixture = Fixture::new(&numbers);
    let load = TargetLoad { requests: 1, memory: 100_000, ..IDLE };
    let loads: BTreeMap<_, _> =
        numbers.iter().take(busy.into()).map(|number| (format!("t{number}"), load)).collect();
    let now = fixture.now();
    fixture.pool.report("peer".into(), &LoadChanges::between(None, &loads), now);
    let need = Need { prompt, ..long() };
    let choice = fixture.choose(&need).ok();
    assert_eq!(choice.as_ref().map(|choice| held(choice).len()), expected);
    let Some(choice) = choice else { return };
    let parts: u64 = held(&choice).iter().sum();
    let rest = prompt + need.output - parts;
    assert!(rest <= engine().memory && held(&choice).iter().all(|&part| part <= engine().memory));
    let readers = choice.helpers.iter().map(|helper| &helper.target).chain([&choice.target]);
    assert!(readers.clone().all(|target| !loads.contains_key(target)));
    assert_eq!(readers.collect::<BTreeSet<_>>().len(), choice.helpers.len() + 1);
}

/// Returns the parts that helpers hold.
fn held(choice: &Choice) -> Vec<u64> {
    choice.helpers.iter().map(|helper| helper.holds).filter(|&holds| holds > 0).collect()
}

cases! {
    check_shared {
        /// Guards against a prompt that no engine takes though several could together.
        two_hold_it: (400_000, 30, 0, Some(1)),
        three_hold_it: (700_000, 60, 0, Some(2)),
        /// Guards against such a prompt beside the streams of others.
        busy_engines_are_left_out: (400_000, 30, 10, Some(1)),
        /// Guards against such a prompt that takes the engines of all others.
        too_few_idle: (400_000, 21, 12, None),
        /// Guards against a plan without the memory for it.
        too_large: (1_000_000, 3, 0, None),
    }
}
