//! Which target gets a request.

use crate::fixture::{Fixture, IDLE, SECOND, STARTS, long, members, service, short};
use fulmarhead_lib::{
    clock::Clock,
    placement::{LoadChanges, Need, Pool, Shortage, TargetLoad, Waive},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use testutils::ManualClock;

/// Guards against a long prompt that one engine reads for three seconds.
#[test]
fn long_prompt_is_read_in_parts() {
    let mut fixture = Fixture::new(&[1, 2, 3, 4, 5, 6, 7, 8]);
    let choice = fixture.send(&long());
    let readers: BTreeSet<&String> =
        choice.helpers.iter().map(|helper| &helper.target).chain([&choice.target]).collect();
    assert_eq!(readers.len(), choice.helpers.len() + 1);
    assert!(choice.read_ms <= 400.0, "a part takes {} ms", choice.read_ms);
}

/// Guards against a long prompt beside streams that tolerate only short pauses.
#[test]
fn long_prompt_keeps_away_from_short_streams() {
    let mut fixture = Fixture::new(&[1, 2, 3, 4]);
    let busy = fixture.send(&short()).target;
    let choice = fixture.send(&long());
    assert_ne!(choice.target, busy);
    assert!(choice.helpers.iter().all(|helper| helper.target != busy));
}

/// Guards against short requests that spread over all engines.
#[test]
fn short_requests_are_packed() {
    let mut fixture = Fixture::new(&[1, 2, 3, 4, 5, 6]);
    let mut targets = BTreeSet::new();
    for _ in 0..8 {
        let choice = fixture.send(&short());
        let now = fixture.now();
        fixture.clock.advance(Duration::from_millis(100));
        fixture.pool.hear(&choice.target, now);
        targets.insert(choice.target);
    }
    assert!(targets.len() <= 2, "{targets:?}");
}

/// Guards against entries that each order the targets in their own way.
#[test]
fn entries_share_the_order_of_targets() {
    let choose = |zone: &str| {
        let clock = ManualClock::default();
        let mut pool = Pool::new(zone.into(), STARTS);
        pool.update(members(&[1, 2, 3, 4, 5, 6]), false, clock.now());
        let choice =
            pool.choose(&service(0.0), &short(), &[], Waive::Nothing, 3, clock.now()).unwrap();
        choice.target
    };
    let first = choose("none");
    assert_eq!(choose("other"), first);
}

/// Guards against entries that know the same and all send to one engine.
#[test]
fn entries_that_know_the_same_spread() {
    let numbers: Vec<u8> = (1..=30).collect();
    let mut fixture = Fixture::new(&numbers);
    let loads: BTreeMap<String, TargetLoad> = numbers
        .iter()
        .map(|number| (format!("t{number}"), TargetLoad { requests: 6, short: 6, ..IDLE }))
        .collect();
    let now = fixture.now();
    fixture.pool.report("peer".into(), &LoadChanges::between(None, &loads), now);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for draw in 0..40 {
        let choice = fixture.choose(&Need { draw, ..short() }).unwrap();
        *counts.entry(choice.target).or_default() += 1;
    }
    assert!(counts.values().all(|&count| count <= 10), "{counts:?}");
}

/// Guards against requests that wait at full engines, where all of them become late.
#[test]
fn request_that_would_be_late_is_refused() {
    let mut fixture = Fixture::new(&[1, 2]);
    let full = TargetLoad { requests: 16, short: 16, writing: 16, ..IDLE };
    let loads = BTreeMap::from([("t1".to_owned(), full), ("t2".to_owned(), full)]);
    let now = fixture.now();
    fixture.pool.report("peer".into(), &LoadChanges::between(None, &loads), now);
    assert_eq!(fixture.choose(&short()), Err(Shortage::Full));
    assert!(fixture.choose(&Need { overdue: true, ..short() }).is_ok());
}

/// Guards against work for a zone that is taken out.
#[test]
fn zone_out_gets_nothing() {
    let mut fixture = Fixture::new(&[3, 6]);
    fixture.pool.take_out(BTreeSet::from(["z0".to_owned()]));
    assert_eq!(fixture.choose(&short()), Err(Shortage::NoTarget));
    fixture.pool.take_out(BTreeSet::new());
    assert!(fixture.choose(&short()).is_ok());
}

/// Guards against prompts that two entries send to one engine.
#[test]
fn loads_of_peers_count() {
    let mut fixture = Fixture::new(&[1, 2]);
    let first = fixture.choose(&long()).unwrap().target;
    let load = TargetLoad { requests: 3, read_ms: 5_000.0, memory: 200_000, ..Default::default() };
    let now = fixture.now();
    let loads = BTreeMap::from([(first.clone(), load)]);
    fixture.pool.report("peer".into(), &LoadChanges::between(None, &loads), now);
    assert_ne!(fixture.choose(&long()).unwrap().target, first);
    fixture.clock.advance(Duration::from_secs(3));
    assert_eq!(fixture.choose(&long()).unwrap().target, first);
}

/// Guards against taking a busy target for a dead one.
#[test]
fn target_that_answers_others_is_not_silent() {
    let mut fixture = Fixture::new(&[1]);
    let patience = Duration::from_millis(1_200);
    fixture.clock.advance(2 * SECOND);
    let now = fixture.now();
    assert!(fixture.pool.is_silent("t1", patience, now));
    fixture.pool.hear("t1", now);
    fixture.clock.advance(SECOND);
    assert!(!fixture.pool.is_silent("t1", patience, fixture.now()));
    fixture.clock.advance(SECOND);
    assert!(fixture.pool.is_silent("t1", patience, fixture.now()));
}
