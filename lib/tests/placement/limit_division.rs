//! Tests of how the entries of a fleet divide the limit of a target.

use crate::{
    fixture::SECOND,
    limit_fleet::{LimitFleet, STEP},
};
use fulmarhead_lib::placement::RateNotice;
use std::time::Duration;
use testutils::cases;

/// Time from the first response with a limit to the first counted request.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Time after the first response with a limit from which its use is measured.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Share of the limit that a fleet with enough requests at all entries uses at least.
const MIN_USE: f64 = 0.75;

/// Limits below this are used with at least one request in 10 s.
const PROBE_RATE: f64 = 0.1;

/// Returns the requests that a target with a limit of `per_second` may get in 4 s.
fn allowed(per_second: f64) -> usize {
    (1.5 * 4.0 * per_second + 5.0) as usize
}

/// Demand of one request in each step at each entry.
fn all(_: usize, _: u32) -> bool {
    true
}

fn none(_: usize, _: u32) -> bool {
    false
}

/// Plays a target that begins to name a limit of `per_second` under full demand at `count` entries,
/// with a pause of the demand that lets each of them save up what it can.
fn check_limit_kept(count: usize, per_second: f64) {
    let mut fleet = LimitFleet::new(count);
    fleet.play(SECOND, |entry, step| entry as u32 % 20 == step % 20);
    fleet.limit(per_second);
    let named_at = fleet.now();
    fleet.play(SETTLE_TIME, all);
    let measured_from = fleet.now();
    let time = 20 * SECOND;
    fleet.play(time, all);
    let used = fleet.count_since(measured_from);
    fleet.play(30 * SECOND, none);
    fleet.play(10 * SECOND, all);
    let most = fleet.max_in_window(named_at + NOTICE_TIME);
    println!(
        "{count} entries, limit {per_second}: {most} of {} in 4 s, {used} in 20 s",
        allowed(per_second)
    );
    assert!(most <= allowed(per_second), "{most} requests in 4 s");
    let least = MIN_USE * per_second.max(PROBE_RATE) * time.as_secs_f64();
    assert!(used as f64 >= least.floor(), "{used} requests in {time:?}");
    assert_eq!(fleet.limited_entries(), count);
}

cases! {
    check_limit_kept {
        /// Guards against entries that together exceed a limit, at once or after a calm, and
        /// against limits that are not used.
        four_entries_zero: (4, 0.0),
        four_entries_tiny: (4, 0.3),
        four_entries_one: (4, 1.0),
        four_entries_low: (4, 1.5),
        four_entries_high: (4, 20.0),
        thirty_entries_zero: (30, 0.0),
        thirty_entries_tiny: (30, 0.3),
        thirty_entries_one: (30, 1.0),
        thirty_entries_low: (30, 1.5),
        thirty_entries_high: (30, 20.0),
        three_hundred_entries_zero: (300, 0.0),
        three_hundred_entries_tiny: (300, 0.3),
        three_hundred_entries_one: (300, 1.0),
        three_hundred_entries_low: (300, 1.5),
        three_hundred_entries_high: (300, 20.0),
        /// Guards against a lone entry that uses a part of the limit only.
        one_entry: (1, 1.5),
    }
}

/// Guards against a limit that is exceeded while some entries do not know others yet.
#[test]
fn lists_that_differ() {
    for per_second in [0.3, 1.5, 20.0] {
        let mut fleet = LimitFleet::new(30);
        for entry in 0..30 {
            // Each entry lacks one other, and the last two know few.
            let lacking = (entry * 7 + 3) % 30;
            let count = if entry < 28 { 30 } else { 20 };
            fleet.set_known(entry, (0..count).filter(|other| *other != lacking));
        }
        fleet.play(SECOND, |entry, step| entry as u32 % 20 == step % 20);
        fleet.limit(per_second);
        let named_at = fleet.now();
        fleet.play(10 * SECOND, all);
        fleet.play(30 * SECOND, none);
        fleet.play(5 * SECOND, all);
        for entry in 0..30 {
            fleet.set_known(entry, 0..30);
        }
        fleet.play(10 * SECOND, all);
        let most = fleet.max_in_window(named_at + NOTICE_TIME);
        println!("lists differ, limit {per_second}: {most} of {} in 4 s", allowed(per_second));
        assert!(most <= allowed(per_second), "{most} requests in 4 s at {per_second}");
    }
}

/// Checks that all of `count` entries learn that a limit has ended.
fn check_end(count: usize, per_second: f64, within: Duration) {
    let mut fleet = LimitFleet::new(count);
    fleet.limit(per_second);
    fleet.play(SETTLE_TIME, all);
    assert_eq!(fleet.limited_entries(), count);
    fleet.notice = RateNotice::Unlimited;
    let ended_at = fleet.elapsed();
    while fleet.limited_entries() > 0 {
        fleet.play(STEP, all);
        assert!(fleet.elapsed() < ended_at + within, "the end is not known after {within:?}");
    }
    println!(
        "{count} entries, limit {per_second}: end known after {:?}",
        fleet.elapsed() - ended_at
    );
}

cases! {
    check_end {
        /// Guards against a target that gets few requests for good after its limit has ended.
        end_known_to_four_entries: (4, 1.5, 3 * SECOND),
        end_known_to_three_hundred_entries: (300, 1.5, 3 * SECOND),
        end_of_tiny_limit: (300, 0.3, 10 * SECOND),
        end_of_zero_limit: (300, 0.0, 25 * SECOND),
    }
}

/// Guards against a target that gets no request if the entries that have a share have none.
#[test]
fn other_entries_probe_a_quiet_target() {
    let mut fleet = LimitFleet::new(30);
    fleet.limit(1.5);
    fleet.play(SETTLE_TIME, all);
    let senders = fleet.senders();
    assert_eq!(senders.len(), 4);
    let others_only = |entry: usize, _: u32| !senders.contains(&entry);
    let begin = fleet.now();
    fleet.play(60 * SECOND, others_only);
    let probes = fleet.count_since(begin);
    println!("{probes} probes in 60 s");
    assert!((4..=12).contains(&probes), "{probes} probes");
    fleet.notice = RateNotice::Unlimited;
    fleet.play(12 * SECOND, others_only);
    assert_eq!(fleet.limited_entries(), 0);
}

/// Guards against a limit of an earlier run that restricts a new one.
#[test]
fn restarted_target_has_no_limit() {
    let mut fleet = LimitFleet::new(4);
    fleet.limit(1.5);
    fleet.play(SETTLE_TIME, all);
    fleet.notice = RateNotice::Unlimited;
    fleet.restart_target();
    let begin = fleet.now();
    fleet.play(SECOND, all);
    assert_eq!(fleet.count_since(begin), 80);
}

/// Guards against an entry without contact to others that goes on as if there were no limit, and
/// one that never learns of its end.
#[test]
fn entry_without_peers_keeps_the_limit() {
    let mut fleet = LimitFleet::new(4);
    fleet.limit(1.5);
    let named_at = fleet.now();
    fleet.play(SETTLE_TIME, all);
    fleet.set_exchanges(3, false);
    fleet.play(10 * SECOND, all);
    assert!(fleet.max_in_window(named_at + NOTICE_TIME) <= allowed(1.5));
    fleet.notice = RateNotice::Unlimited;
    fleet.play(8 * SECOND, all);
    assert_eq!(fleet.limited_entries(), 0);
}

/// Guards against callers that are told to return far too late or at once, when the only target
/// has a limit.
#[test]
fn refused_callers_return_when_a_share_is_free() {
    let mut fleet = LimitFleet::new(30);
    fleet.limit(1.5);
    fleet.play(20 * SECOND, all);
    let (shortest, longest) = (fleet.refusals.iter().min(), fleet.refusals.iter().max());
    println!("waits from {shortest:?} to {longest:?}");
    assert!(shortest.is_some_and(|wait| *wait > Duration::from_millis(250)));
    assert!(longest.is_some_and(|wait| *wait <= 6 * SECOND));
}
