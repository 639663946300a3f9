//! Tests of targets that name a limit on the requests of all entries together.

use crate::fixture::{
    Fixture, IDLE_LOAD, SECOND, latency_sensitive, long_prompt, members, service,
};
use fulmarhead_lib::{
    limits::RequestRate,
    placement::{
        Backoff, Choice, Forecast, LimitChange, LimitNews, Member, PlacementError, RateNotice,
        RequestProfile, TargetLoad,
    },
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime},
};
use testutils::cases;

const MS: Duration = Duration::from_millis(1);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).unwrap()
}

fn limited(per_second: f64) -> RateNotice {
    RateNotice::Limited(rate(per_second))
}

/// A response of the only target of a pool.
struct Response {
    notice: RateNotice,
    /// Whether its request was sent before the response before it arrived.
    is_late: bool,
    /// Change that is reported.
    change: Option<LimitChange>,
}

fn response(notice: RateNotice, change: Option<LimitChange>) -> Response {
    Response { notice, is_late: false, change }
}

fn late(notice: RateNotice, change: Option<LimitChange>) -> Response {
    Response { notice, is_late: true, change }
}

fn record(
    fixture: &mut Fixture,
    choice: &Choice,
    notice: RateNotice,
    sent_at: Instant,
) -> Option<LimitChange> {
    let now = fixture.now();
    fixture.pool.record_rate(choice, notice, sent_at, now)
}

/// Checks which changes are reported for `responses` that arrive a second apart.
fn check_changes(responses: &[Response]) {
    let mut fixture = Fixture::new(&[1]);
    let choice = fixture.choose(&latency_sensitive()).unwrap();
    for Response { notice, is_late, change } in responses {
        fixture.clock.advance(SECOND);
        let sent_at = fixture.now() - if *is_late { SECOND + MS } else { MS };
        assert_eq!(record(&mut fixture, &choice, *notice, sent_at), *change);
    }
}

use LimitChange::{Changed, Ended, Named};
use RateNotice::{Absent, Unlimited};

cases! {
    check_changes {
        named_once: (&[
            response(limited(1.5), Some(Named(rate(1.5)))),
            response(limited(1.5), None),
            response(Absent, None),
        ]),
        changed: (&[
            response(limited(1.5), Some(Named(rate(1.5)))),
            response(limited(3.0), Some(Changed(rate(3.0)))),
        ]),
        named_again_after_its_end: (&[
            response(Unlimited, None),
            response(limited(1.5), Some(Named(rate(1.5)))),
            response(Unlimited, Some(Ended)),
            response(limited(2.0), Some(Named(rate(2.0)))),
        ]),
        /// Guards against a response that was under way when the limit was named and ends it.
        late_response_without_a_limit: (&[
            response(limited(1.5), Some(Named(rate(1.5)))),
            late(Unlimited, None),
        ]),
        late_response_with_a_higher_limit: (&[
            response(limited(1.5), Some(Named(rate(1.5)))),
            late(limited(3.0), None),
        ]),
        /// Guards against a limit that is not kept because the response before it was sooner.
        late_response_with_a_lower_limit: (&[
            response(limited(1.5), Some(Named(rate(1.5)))),
            late(limited(1.0), Some(Changed(rate(1.0)))),
        ]),
    }
}

/// Returns a fixture with the targets `numbers`, of which the first names a limit of `per_second`,
/// and a choice of that one.
fn limited_fixture(numbers: &[u8], per_second: f64) -> (Fixture, Choice) {
    let mut fixture = Fixture::new(&numbers[..1]);
    let choice = fixture.choose(&latency_sensitive()).unwrap();
    let now = fixture.now();
    fixture.pool.update_members(members(numbers), Duration::ZERO, now);
    record(&mut fixture, &choice, limited(per_second), now);
    (fixture, choice)
}

/// Checks the result of a choice that ignores back-offs, at once after the only target has named a
/// limit of `per_second`.
fn check_exhausted(per_second: f64, expected: PlacementError) {
    let (mut fixture, _) = limited_fixture(&[1], per_second);
    let now = fixture.now();
    let choice =
        fixture.pool.choose(&fixture.service, &latency_sensitive(), &[], Backoff::Ignore, 1, now);
    assert_eq!(choice, Err(expected));
    fixture.clock.advance(2 * SECOND);
    assert!(fixture.choose(&latency_sensitive()).is_ok());
}

cases! {
    check_exhausted {
        /// Guards against a limit that back-offs of all other targets override.
        long_wait_is_a_pause: (1.0, PlacementError::Paused(Duration::from_nanos(1_111_111_111))),
        short_wait_is_a_shortage: (20.0, PlacementError::Full),
    }
}

/// Guards against requests before a limit that come on top of what it allows.
#[test]
fn requests_before_the_limit_count() {
    let mut fixture = Fixture::new(&[1]);
    let choice = fixture.send(&latency_sensitive());
    fixture.send(&latency_sensitive());
    let now = fixture.now();
    record(&mut fixture, &choice, limited(1.0), now);
    let error = fixture.choose(&latency_sensitive()).unwrap_err();
    let PlacementError::Paused(wait) = error else { panic!("{error:?}") };
    assert!(wait > 3 * SECOND && wait < 4 * SECOND, "{wait:?}");
}

/// Guards against requests that were selected together, of which each finds the same share.
#[test]
fn selected_target_with_a_limit_is_checked_again() {
    let (mut fixture, _) = limited_fixture(&[1], 1.5);
    fixture.clock.advance(SECOND);
    let choice = fixture.choose(&latency_sensitive()).unwrap();
    let now = fixture.now();
    assert!(fixture.pool.wants_requests(&choice, now));
    fixture.send(&latency_sensitive());
    assert!(!fixture.pool.wants_requests(&choice, now));
    assert!(fixture.pool.wants_requests(&choice, now + SECOND));
}

/// Guards against work at a target in need that its limit does not count: parts of prompts, and
/// orders for its memory.
#[test]
fn limited_target_is_no_helper() {
    let numbers: Vec<u8> = (1..=30).collect();
    let oversized = RequestProfile { prompt_tokens: 400_000, ..long_prompt() };
    for profile in [long_prompt(), oversized] {
        for draw in 0..20 {
            let (mut fixture, limited) = limited_fixture(&numbers, 1_000.0);
            fixture.clock.advance(SECOND);
            let choice = fixture.choose(&RequestProfile { draw, ..profile }).unwrap();
            assert!(!choice.helpers.is_empty());
            assert!(choice.helpers.iter().all(|helper| helper.target != limited.target));
        }
    }
}

/// Returns the forecast for a request while the targets `busy` have full engines, and the target 1
/// names a limit of `per_second`.
fn forecast(numbers: &[u8], busy: &[u8], per_second: f64) -> Forecast {
    let (mut fixture, _) = limited_fixture(numbers, per_second);
    let full = TargetLoad { requests: 16, decoding: 16, kv_tokens: 50_000, ..IDLE_LOAD };
    fixture.report_loads(busy, full);
    let now = fixture.now();
    fixture.pool.forecast(&service(0.0), &latency_sensitive(), now)
}

/// Guards against requests that wait for a limited target, of which only a few can get there.
#[test]
fn limited_target_is_no_capacity_beside_others() {
    let mut without = Fixture::new(&[2, 3]);
    let full = TargetLoad { requests: 16, decoding: 16, kv_tokens: 50_000, ..IDLE_LOAD };
    without.report_loads(&[2, 3], full);
    let now = without.now();
    let expected = without.pool.forecast(&service(0.0), &latency_sensitive(), now);
    assert!(!expected.is_immediate());
    assert_eq!(forecast(&[1, 2, 3], &[2, 3], 20.0), expected);
}

/// Guards against a forecast that says that a target can begin at once which has a limit.
#[test]
fn share_of_the_only_target_is_awaited() {
    let wait = Duration::from_secs_f64(1.0 / 18.0);
    let forecast = forecast(&[1], &[], 20.0);
    assert!(forecast.expected.abs_diff(wait) < MS, "{forecast:?}");
}

/// Checks the limit that an entry keeps to which knows one change, its number and the limit, and
/// receives news of another one, in any order.
fn check_merged(one: (u64, Option<f64>), other: (u64, Option<f64>), expected: Option<f64>) {
    let news = |(serial, per_second): (u64, Option<f64>)| LimitNews {
        target: "t1".into(),
        started_at: None,
        serial,
        rate: per_second.map(rate),
        idle: Duration::ZERO,
    };
    for changes in [[one, other], [other, one]] {
        let mut fixture = Fixture::new(&[1]);
        let now = fixture.now();
        for change in changes {
            fixture.pool.merge_limits(vec![news(change)], now);
        }
        let limits = fixture.pool.summary().request_limits;
        assert_eq!(limits.get("t1").map(|limit| limit.rate), expected.map(rate));
        let (told, version) = fixture.pool.limits_since(0, now);
        assert_eq!(told.iter().map(|news| news.rate).collect::<Vec<_>>(), [expected.map(rate)]);
        assert!(fixture.pool.limits_since(version, now).0.is_empty());
    }
}

cases! {
    check_merged {
        /// Guards against entries that settle on different limits.
        last_change_counts: ((1, Some(1.5)), (2, Some(3.0)), Some(3.0)),
        last_end_counts: ((1, Some(1.5)), (2, None), None),
        limit_after_an_end: ((2, None), (3, Some(1.5)), Some(1.5)),
        lower_of_two_changes: ((2, Some(1.5)), (2, Some(3.0)), Some(1.5)),
        change_and_end: ((2, Some(1.5)), (2, None), Some(1.5)),
        same_change: ((1, Some(1.5)), (1, Some(1.5)), Some(1.5)),
    }
}

/// Guards against limits of targets that have ended in the state dump and the metrics.
#[test]
fn limit_of_target_that_has_ended_is_not_shown() {
    for list in [members(&[2]), restarted(1)] {
        let (mut fixture, _) = limited_fixture(&[1], 1.5);
        assert_eq!(fixture.pool.limited_count(), 1);
        let now = fixture.now();
        fixture.pool.update_members(list, Duration::ZERO, now);
        assert_eq!(fixture.pool.limited_count(), 0);
        assert!(fixture.pool.summary().request_limits.is_empty());
    }
}

/// Returns a list with a new run of the target `number`.
fn restarted(number: u8) -> BTreeMap<String, Member> {
    let mut list = members(&[number]);
    list.values_mut().for_each(|member| member.started_at = Some(SystemTime::UNIX_EPOCH));
    list
}
