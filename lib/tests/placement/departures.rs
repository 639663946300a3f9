//! Tests of a list of a store that has come back from a copy.

use crate::fixture::{Fixture, SECOND, latency_sensitive, member, members};
use fulmarhead_lib::placement::{Member, MemberState, PlacementError};
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};
use testutils::cases;

const OUTDATED_TIME: Duration = Duration::from_secs(5);

type List = BTreeMap<String, Member>;

/// Returns a list with the run number `run` of the target `t1`.
fn list_of(run: u64, state: MemberState) -> List {
    let started_at = Some(SystemTime::UNIX_EPOCH + Duration::from_secs(run));
    let target = Member { started_at, state, ..member(1) };
    BTreeMap::from([(target.id.clone(), target)])
}

/// Checks whether `t1` gets a request when the time `after` has passed since the first list of a store
/// that has come back from a copy. `before` are the lists of the former era, and `copy` is that of the
/// copy.
fn check_listed(before: &[List], copy: List, after: Duration, expected: bool) {
    let mut fixture = Fixture::new(&[]);
    for list in before {
        let now = fixture.now();
        fixture.pool.update_members(list.clone(), Duration::ZERO, now);
        fixture.clock.advance(SECOND);
    }
    let now = fixture.now();
    fixture.pool.record_return(OUTDATED_TIME, now);
    fixture.pool.update_members(copy, SECOND, now);
    fixture.clock.advance(after);
    let chosen = fixture.choose(&latency_sensitive()).map(|choice| choice.target);
    assert_eq!(chosen, if expected { Ok("t1".into()) } else { Err(PlacementError::NoTarget) });
}

fn ready(run: u64) -> List {
    list_of(run, MemberState::Ready)
}

fn draining(run: u64) -> List {
    list_of(run, MemberState::Draining)
}

cases! {
    check_listed {
        /// Guards against requests to a target that the copy lists although it has left.
        removed_run: (&[ready(1), members(&[])], ready(1), SECOND, false),
        drained_run: (&[ready(1), draining(1)], ready(1), SECOND, false),
        replaced_run: (&[ready(1), ready(2)], ready(1), 2 * SECOND, false),
        /// Guards against the loss of a live target that the copy lists with a former run.
        present_run: (&[ready(1), ready(2)], ready(1), Duration::ZERO, true),
        /// Guards against a target that stays out of use although it writes its record again.
        run_that_is_listed_for_longer: (&[ready(1), members(&[])], ready(1), OUTDATED_TIME, true),
        later_run: (&[ready(1), members(&[])], ready(2), Duration::ZERO, true),
        unchanged_run: (&[ready(1)], ready(1), Duration::ZERO, true),
        run_that_was_back_before: (&[ready(1), members(&[]), ready(1)], ready(1), SECOND, true),
    }
}

/// Guards against departures that count although the store has not come back from a copy.
#[test]
fn target_that_lapsed_is_used_when_it_is_listed_again() {
    let mut fixture = Fixture::new(&[]);
    for list in [ready(1), members(&[]), ready(1)] {
        let now = fixture.now();
        fixture.pool.update_members(list, Duration::ZERO, now);
    }
    assert_eq!(fixture.choose(&latency_sensitive()).unwrap().target, "t1");
}
