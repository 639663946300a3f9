//! Tests of which targets may get requests.

use crate::fixture::{Fixture, SECOND, START_BOUND, latency_sensitive, members, service};
use fulmarhead_lib::placement::{
    AttemptResult, Backoff, Member, MemberState, PlacementError, Work,
};
use std::{collections::BTreeMap, time::Duration};
use testutils::cases;

/// Checks whether the target `t1` gets a request when the time `after` has passed since `change` of
/// the list.
fn check_membership(
    change: fn(&mut BTreeMap<String, Member>),
    missing_grace: Duration,
    after: Duration,
    expected: bool,
) {
    let mut fixture = Fixture::new(&[1]);
    let mut list = members(&[1]);
    change(&mut list);
    let now = fixture.now();
    fixture.pool.update_members(list, missing_grace, now);
    fixture.clock.advance(after);
    let chosen = fixture.choose(&latency_sensitive()).map(|choice| choice.target);
    assert_eq!(chosen, if expected { Ok("t1".into()) } else { Err(PlacementError::NoTarget) });
}

fn drain(list: &mut BTreeMap<String, Member>) {
    list.get_mut("t1").unwrap().state = MemberState::Draining;
}

fn remove(list: &mut BTreeMap<String, Member>) {
    list.clear();
}

fn check_start_rate(rate: f64, entries: usize, expected: usize) {
    let mut fixture = Fixture::new(&[1]);
    fixture.service = service(rate);
    let mut sent = 0;
    for _ in 0..1_000 {
        let now = fixture.now();
        let choice = fixture.pool.choose(
            &fixture.service,
            &latency_sensitive(),
            &[],
            Backoff::Respect,
            entries,
            now,
        );
        if let Ok(choice) = choice {
            let id = fixture.pool.begin_request(
                &choice.target,
                Work::new(&latency_sensitive(), 10.0, now),
                now,
            );
            fixture.pool.end_request(&choice.target, id, AttemptResult::Answered, now);
            sent += 1;
        }
        fixture.clock.advance(Duration::from_micros(900));
    }
    assert_eq!(sent, expected);
    // One request a second is always allowed, and a service without a cold rate has no bound.
    let bound = rate * START_BOUND.rate_factor + START_BOUND.extra_starts;
    assert!(rate == 0.0 || sent == 1 || (sent * entries) as f64 <= bound);
}

fn check_backoff(result: AttemptResult, after: Duration, expected: Result<(), PlacementError>) {
    let mut fixture = Fixture::new(&[1]);
    let now = fixture.now();
    let id = fixture.pool.begin_request("t1", Work::new(&latency_sensitive(), 10.0, now), now);
    fixture.pool.end_request("t1", id, result, now);
    fixture.clock.advance(after);
    assert_eq!(fixture.choose(&latency_sensitive()).map(|_| ()), expected);
}

cases! {
    check_membership {
        unchanged: (|_| (), Duration::ZERO, Duration::ZERO, true),
        /// Guards against sending requests to a target that is shutting down.
        draining: (drain, Duration::ZERO, Duration::ZERO, false),
        /// Guards against sending requests to a target that was removed from the list while the
        /// store was available.
        removed: (remove, Duration::ZERO, Duration::ZERO, false),
        /// Guards against having no usable targets right after the store returns from an outage.
        missing_after_outage: (remove, 2 * SECOND, SECOND, true),
        /// Guards against sending requests to a draining target because the list was unavailable.
        draining_after_outage: (drain, 2 * SECOND, SECOND, false),
        /// Guards against keeping a missing target indefinitely.
        missing_after_grace: (remove, 2 * SECOND, 2 * SECOND, false),
    }

    check_start_rate {
        /// Guards against entries that together exceed the rate of a cold target.
        three_entries: (36.0, 3, 15),
        one_entry: (36.0, 1, 47),
        many_entries: (36.0, 21, 2),
        /// Guards against a target that gets no requests when there are more entries than allowed
        /// requests a second.
        more_entries_than_allowed_starts: (36.0, 100, 1),
        warm_service: (0.0, 3, 1_000),
    }

    check_backoff {
        answered: (AttemptResult::Answered, Duration::ZERO, Ok(())),
        abandoned: (AttemptResult::Abandoned, Duration::ZERO, Ok(())),
        failed: (AttemptResult::Failed, Duration::ZERO, Err(PlacementError::Full)),
        failed_after_backoff: (AttemptResult::Failed, SECOND, Ok(())),
        full: (AttemptResult::Full, Duration::ZERO, Err(PlacementError::Full)),
    }
}
