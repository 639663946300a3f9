//! Tests of the directory of targets, its sampling, and the prefix affinity of an entry.

use fulmarhead_lib::{
    admission::Phase,
    clock::Clock,
    config::Fleet,
    control::{Load, Progress, Report},
    cost::{Cost, LengthClass},
    ids::TargetId,
    routing::{Affinity, Candidate, Directory, PrefixHashes, Query, Service},
};
use serde_json::json;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use testutils::{ManualClock, cases};

const SHORT: Cost = Cost { prompt: 4_000, output: 32 };

const LOAD: Load = Load {
    running: 0,
    cap: 64,
    prefill: 0,
    medium_prefill: 0,
    long_prefill: 0,
    kv_used: 0,
    kv_total: 450_000,
    prefill_rate: 400_000,
};

fn report(target: &str, load: Load) -> Report {
    Report {
        target: target.to_owned(),
        incarnation: 1,
        revision: 1,
        phase: Phase::Serving,
        models: vec!["assistant".to_owned()],
        application: None,
        load,
        progress: Progress::default(),
    }
}

fn fleet(targets: usize, zone_out_of_service: Option<&str>) -> Fleet {
    let zone = |index: usize| ["a", "b", "c"][index % 3];
    let target = |index| {
        json!({
            "id": format!("{index:05}"), "zone": zone(index), "kind": "engine",
            "work": "127.0.0.1:1", "control": "127.0.0.1:1", "models": ["assistant"],
        })
    };
    let zones = ["a", "b", "c"]
        .map(|id| json!({ "id": id, "in_service": zone_out_of_service != Some(id) }));
    let text = json!({
        "revision": 1, "zones": zones, "models": [{ "id": "assistant", "max_tokens": 1_000_000 }],
        "targets": (0..targets).map(target).collect::<Vec<_>>(), "entries": [], "teams": [],
    });
    serde_json::from_value(text).unwrap()
}

fn directory(targets: usize, zone_out_of_service: Option<&str>, now: Instant) -> Directory {
    let mut directory = Directory::default();
    directory.configure(&fleet(targets, zone_out_of_service));
    for index in 0..targets {
        let id = format!("{index:05}");
        directory.set_connected(&id, true);
        directory.record_report(report(&id, LOAD), now);
    }
    directory
}

/// Returns the candidates for a request that was already sent to target 00001.
fn sample(directory: &Directory, class: LengthClass, now: Instant) -> Vec<Candidate> {
    let service = Service::Model("assistant".to_owned());
    let tried = BTreeSet::from(["00001".to_owned()]);
    let query = Query { service: &service, class, tried: &tried, seed: 5, now };
    directory.sample(query, &BTreeMap::new())
}

fn check_sample(targets: usize, zone_out_of_service: Option<&str>, expected: usize) {
    let now = ManualClock::default().now();
    let directory = directory(targets, zone_out_of_service, now);
    let sample = sample(&directory, LengthClass::Short, now);
    assert_eq!(sample.len(), expected);
    assert!(sample.iter().all(|candidate| Some(&*candidate.zone) != zone_out_of_service));
    let distinct: BTreeSet<&TargetId> = sample.iter().map(|candidate| &candidate.target).collect();
    assert_eq!(distinct.len(), expected, "a target is in the sample twice");
}

cases! {
    check_sample {
        /// Guards against leaving out a target of a small group, or choosing one that was already
        /// tried.
        small_group_gives_all_but_tried_target: (12, None, 11),
        /// Guards against sending new work to a zone that is out of service.
        zone_out_of_service_is_excluded: (12, Some("b"), 8),
        /// Guards against examining every target of a large group.
        large_group_is_sampled: (11_000, None, 12),
        /// Guards against samples that are too small because of targets out of service.
        sample_is_full_with_zone_out: (11_000, Some("b"), 12),
    }
}

/// Guards against choosing a target whose agent stopped reporting or lost its connection.
#[test]
fn unreachable_targets_are_excluded() {
    let clock = ManualClock::default();
    let mut directory = directory(3, None, clock.now());
    let service = Service::Model("assistant".to_owned());
    directory.set_connected("00002", false);
    assert_eq!(sample(&directory, LengthClass::Short, clock.now()).len(), 1);
    assert!(directory.capacity(&service, clock.now()).zone_missing);
    clock.advance(Duration::from_millis(3_001));
    assert_eq!(sample(&directory, LengthClass::Short, clock.now()).len(), 0);
}

fn check_zone_missing(zone_out_of_service: Option<&str>, expected: bool) {
    let now = ManualClock::default().now();
    let mut directory = directory(6, zone_out_of_service, now);
    let service = Service::Model("assistant".to_owned());
    assert_eq!(directory.capacity(&service, now).zone_missing, expected);
}

cases! {
    check_zone_missing {
        /// Guards against reporting a zone as missing while all serve, so that the zone reserve is
        /// never kept free.
        all_zones_serve: (None, false),
        /// Guards against a zone reserve that stays unused after operators take a zone out of
        /// service.
        zone_out_is_missing: (Some("b"), true),
    }
}

/// Guards against counting an attempt twice or not at all when a report arrives.
#[test]
fn reports_include_accepted_attempts() {
    let now = ManualClock::default().now();
    let mut directory = directory(1, None, now);
    let running = |directory: &Directory| sample(directory, LengthClass::Short, now)[0].running();
    directory.begin_attempt("00000", SHORT);
    directory.begin_attempt("00000", SHORT);
    assert_eq!(running(&directory), 2);
    directory.acknowledge_attempt("00000", SHORT);
    directory.record_report(report("00000", Load { running: 1, ..LOAD }), now);
    assert_eq!(running(&directory), 2, "one attempt is in the report, one is not accepted yet");
    directory.acknowledge_attempt("00000", SHORT);
    directory.end_attempt("00000", SHORT, false);
    directory.end_attempt("00000", SHORT, false);
    directory.record_report(report("00000", LOAD), now);
    assert_eq!(running(&directory), 0);
}

/// Guards against counting an attempt twice when an answer carries the load of its target.
#[test]
fn load_of_answer_includes_the_attempt() {
    let now = ManualClock::default().now();
    let mut directory = directory(1, None, now);
    directory.begin_attempt("00000", SHORT);
    directory.record_load("00000", Load { running: 1, ..LOAD }, Some(SHORT), now);
    directory.acknowledge_attempt("00000", SHORT);
    assert_eq!(sample(&directory, LengthClass::Short, now)[0].running(), 1);
    directory.end_attempt("00000", SHORT, false);
    assert_eq!(sample(&directory, LengthClass::Short, now)[0].running(), 0);
}

/// Guards against excluding a target for short prompts because it refused a long one.
#[test]
fn refusals_apply_to_their_class() {
    let now = ManualClock::default().now();
    let mut directory = directory(1, None, now);
    directory.record_refusal("00000", LengthClass::Long, now + Duration::from_millis(200));
    let refused = |class| sample(&directory, class, now)[0].refused;
    assert_eq!((refused(LengthClass::Long), refused(LengthClass::Short)), (true, false));
}

/// Guards against a `long_share` that does not set the number of engines for long prompts.
#[test]
fn long_share_sets_engines_for_long_prompts() {
    let now = ManualClock::default().now();
    let mut directory = directory(13, None, now);
    let count = |directory: &Directory| {
        let sample = sample(directory, LengthClass::Long, now);
        sample.iter().filter(|candidate| candidate.accepts_long).count()
    };
    let mut counts = Vec::new();
    for share in [0.0, 0.25, 0.5, 1.0] {
        let mut fleet = fleet(13, None);
        fleet.policy.long_share = share;
        directory.configure(&fleet);
        counts.push(count(&directory));
    }
    assert_eq!(counts, [1, 4, 7, 12]);
}

/// Guards against prefixes that are never found and against an unbounded table.
#[test]
fn prefixes_expire_and_are_bounded() {
    let clock = ManualClock::default();
    let mut affinity = Affinity::default();
    let shared = "survey. ".repeat(1_000);
    let first = PrefixHashes::of(&format!("{shared}{}", "one".repeat(4_000)));
    let second = PrefixHashes::of(&format!("{shared}{}", "two".repeat(4_000)));
    affinity.record(&first, "00001", clock.now());
    let cached = affinity.cached_tokens(&second, clock.now());
    assert_eq!(cached, BTreeMap::from([("00001".to_owned(), 2_000)]));
    clock.advance(Duration::from_secs(61));
    assert!(affinity.cached_tokens(&second, clock.now()).is_empty());
    for number in 0..5_000 {
        let prompt = format!("{number:08}").repeat(500);
        affinity.record(&PrefixHashes::of(&prompt), "00002", clock.now());
    }
    assert_eq!(affinity.len(), 4_096);
}
