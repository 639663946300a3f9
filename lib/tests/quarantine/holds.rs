//! Tests of how long parts are held, and of their way back.

use crate::fixture::{CRASHING, FIRST, Fixture, INTERVAL, part_set};
use fulmarhead_lib::{clock::Clock, forward::Progress};
use std::time::Duration;
use testutils::cases;

/// Time after which an entry at most begins trials: the first hold and its spread.
const FIRST_HOLD: Duration = Duration::from_secs(720);

/// Returns a fixture whose `entries` all hold `CRASHING`.
fn held(entries: usize) -> Fixture {
    let mut fixture = Fixture::new(entries);
    for _ in 0..4 {
        fixture.answer(0, &[FIRST]);
        fixture.answer(0, &[FIRST]);
        fixture.crash(0, &[FIRST, CRASHING]);
        fixture.clock.advance(INTERVAL);
    }
    fixture.exchange_all();
    for entry in 0..entries {
        assert!(!fixture.allows(entry, &[FIRST, CRASHING]), "entry {entry}");
    }
    fixture
}

fn begin_send(fixture: &mut Fixture, entry: usize) -> bool {
    let now = fixture.clock.now();
    fixture.entries[entry].begin_send(&part_set(&[FIRST, CRASHING]), now).is_ok()
}

/// Guards against a part that comes back with many requests at once, and against one that never
/// does.
#[test]
fn single_requests_are_tried_after_a_hold() {
    let mut fixture = held(1);
    fixture.clock.advance(FIRST_HOLD);
    assert!(begin_send(&mut fixture, 0));
    assert!(!begin_send(&mut fixture, 0), "two trial requests at once");
    fixture.answer(0, &[FIRST, CRASHING]);
    assert!(begin_send(&mut fixture, 0) && begin_send(&mut fixture, 0));
}

/// Crashes a target at the trial request of one of three entries, after `progress` of the answer, and
/// checks that all of them hold the part for longer.
fn check_crash_of_trial(progress: Progress) {
    let mut fixture = held(3);
    fixture.clock.advance(FIRST_HOLD);
    assert!(begin_send(&mut fixture, 1));
    fixture.crash_of(1_000, 1, progress, &[FIRST, CRASHING]);
    fixture.exchange_all();
    for entry in 0..3 {
        assert!(!begin_send(&mut fixture, entry), "entry {entry}");
    }
    fixture.clock.advance(FIRST_HOLD);
    assert!((0..3).all(|entry| !fixture.allows(entry, &[CRASHING])), "not held for longer");
}

cases! {
    check_crash_of_trial {
        /// Guards against a part that needs several crashes again after its hold, and against entries
        /// that try it after another one has seen it crash a target.
        crash_of_a_trial_request_holds_longer: (Progress::Begun),
        crash_of_a_trial_request_after_an_event: (Progress::Started),
        /// Guards against a part that is tried again and again because its targets crash before the
        /// head of the answer.
        crash_of_a_trial_request_before_the_head: (Progress::Waiting),
    }
}

/// Guards against a trial request without an outcome that blocks the part for good.
#[test]
fn lost_trial_is_repeated() {
    let mut fixture = held(1);
    fixture.clock.advance(FIRST_HOLD);
    assert!(begin_send(&mut fixture, 0));
    fixture.clock.advance(Duration::from_secs(60));
    assert!(begin_send(&mut fixture, 0));
}

/// Guards against a part that stays held although a request with it was answered elsewhere, as on
/// the other side of a cut.
#[test]
fn answer_releases_the_part_everywhere() {
    let mut fixture = held(2);
    fixture.clock.advance(INTERVAL);
    fixture.answer(1, &[FIRST, CRASHING]);
    fixture.exchange_all();
    assert!((0..2).all(|entry| fixture.allows(entry, &[FIRST, CRASHING])));
}
