//! Which targets may get work at all.

use crate::fixture::{Fixture, SECOND, STARTS, members, service, short};
use fulmarhead_lib::placement::{AttemptResult, Member, MemberState, Shortage, Waive, Work};
use std::{collections::BTreeMap, time::Duration};
use testutils::cases;

/// What the list shows after `change`, and whether the target `t1` gets work `after` it.
fn check_membership(
    change: fn(&mut BTreeMap<String, Member>),
    unsettled: bool,
    after: Duration,
    expected: bool,
) {
    let mut fixture = Fixture::new(&[1]);
    let mut list = members(&[1]);
    change(&mut list);
    let now = fixture.now();
    fixture.pool.update(list, unsettled, now);
    fixture.clock.advance(after);
    let chosen = fixture.choose(&short()).map(|choice| choice.target);
    assert_eq!(chosen, if expected { Ok("t1".into()) } else { Err(Shortage::NoTarget) });
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
        let choice =
            fixture.pool.choose(&fixture.service, &short(), &[], Waive::Nothing, entries, now);
        if let Ok(choice) = choice {
            let id = fixture.pool.begin(&choice.target, Work::new(&short(), 10.0, now), now);
            fixture.pool.end(&choice.target, id, AttemptResult::Answered, now);
            sent += 1;
        }
        fixture.clock.advance(Duration::from_micros(900));
    }
    assert_eq!(sent, expected);
    // One start in a second is always allowed, and a service without a rate has no bound.
    let bound = rate * STARTS.overrun + STARTS.tolerance;
    assert!(rate == 0.0 || sent == 1 || (sent * entries) as f64 <= bound);
}

fn check_pause(result: AttemptResult, after: Duration, expected: Result<(), Shortage>) {
    let mut fixture = Fixture::new(&[1]);
    let now = fixture.now();
    let id = fixture.pool.begin("t1", Work::new(&short(), 10.0, now), now);
    fixture.pool.end("t1", id, result, now);
    fixture.clock.advance(after);
    assert_eq!(fixture.choose(&short()).map(|_| ()), expected);
}

cases! {
    check_membership {
        unchanged: (|_| (), false, Duration::ZERO, true),
        /// Guards against work for a target that leaves.
        draining: (drain, false, Duration::ZERO, false),
        /// Guards against work for a target that the list dropped while the store was well.
        removed: (remove, false, Duration::ZERO, false),
        /// Guards against a fleet without targets right after the store's return.
        lapsed_beside_an_outage: (remove, true, SECOND, true),
        /// Guards against a target that is kept for ever.
        lapsed_for_good: (remove, true, 3 * SECOND, false),
    }

    check_start_rate {
        /// Guards against entries that overrun a cold target together.
        three_entries: (36.0, 3, 15),
        one_entry: (36.0, 1, 47),
        many_entries: (36.0, 21, 2),
        /// Guards against a target that never gets anything in a large fleet.
        more_entries_than_starts: (36.0, 100, 1),
        warm_service: (0.0, 3, 1_000),
    }

    check_pause {
        answered: (AttemptResult::Answered, Duration::ZERO, Ok(())),
        abandoned: (AttemptResult::Abandoned, Duration::ZERO, Ok(())),
        failed: (AttemptResult::Failed, Duration::ZERO, Err(Shortage::Full)),
        failed_and_rested: (AttemptResult::Failed, SECOND, Ok(())),
        full: (AttemptResult::Full, Duration::ZERO, Err(Shortage::Full)),
    }
}
