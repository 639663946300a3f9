//! Tests of targets that say in their responses that they are leaving or want no requests.

use crate::fixture::{Fixture, SECOND, latency_sensitive, members};
use fulmarhead_lib::placement::{Backoff, Choice, MemberState, Notice, PlacementError};
use std::time::{Duration, SystemTime};
use testutils::cases;

const LEAVING: Notice = Notice { leaving: true, pause: None };

fn pause(seconds: u64) -> Notice {
    Notice { leaving: false, pause: Some(SECOND * seconds as u32) }
}

/// Returns a fixture with the targets `numbers`, and the choice of the one that sent `notice`.
fn noticed(numbers: &[u8], notice: Notice) -> (Fixture, Choice) {
    let mut fixture = Fixture::new(numbers);
    let choice = fixture.choose(&latency_sensitive()).unwrap();
    let now = fixture.now();
    fixture.pool.record_notice(&choice, notice, now);
    (fixture, choice)
}

/// Checks that a target which is leaving gets no request after `change`.
fn check_still_leaving(change: fn(&mut Fixture)) {
    let (mut fixture, _) = noticed(&[1], LEAVING);
    change(&mut fixture);
    assert_eq!(fixture.choose(&latency_sensitive()), Err(PlacementError::NoTarget));
}

fn reload(fixture: &mut Fixture) {
    let now = fixture.now();
    fixture.pool.update_members(members(&[1]), Duration::ZERO, now);
}

fn lapse_and_return(fixture: &mut Fixture) {
    let now = fixture.now();
    fixture.pool.update_members(members(&[]), Duration::ZERO, now);
    reload(fixture);
}

cases! {
    check_still_leaving {
        at_once: (|_| ()),
        /// Guards against a copy of the list that still shows the target as ready.
        list_that_shows_it_as_ready: (reload),
        /// Guards against a record that lapses, as around an outage of the store, and returns.
        record_that_returns: (lapse_and_return),
        after_a_minute: (|fixture| fixture.clock.advance(60 * SECOND)),
    }
}

/// Guards against a mark of a target that a new process under the same identifier inherits.
#[test]
fn new_run_of_the_target_gets_requests() {
    for notice in [LEAVING, pause(100)] {
        let (mut fixture, _) = noticed(&[1], notice);
        let mut list = members(&[1]);
        list.get_mut("t1").unwrap().started_at = Some(SystemTime::UNIX_EPOCH + SECOND);
        let now = fixture.now();
        fixture.pool.update_members(list, Duration::ZERO, now);
        assert_eq!(
            fixture.choose(&latency_sensitive()).map(|choice| choice.target),
            Ok("t1".into())
        );
    }
}

/// Guards against a late response of an earlier run that marks the present one.
#[test]
fn notice_of_an_earlier_run_does_not_count() {
    let (mut fixture, choice) = noticed(&[1], Notice::default());
    let mut list = members(&[1]);
    list.get_mut("t1").unwrap().started_at = Some(SystemTime::UNIX_EPOCH + SECOND);
    let now = fixture.now();
    fixture.pool.update_members(list, Duration::ZERO, now);
    fixture.pool.record_notice(&choice, LEAVING, now);
    assert!(fixture.choose(&latency_sensitive()).is_ok());
}

/// Checks for how long a target is out of the choice after `pauses`, in seconds, that it asked for
/// one second apart.
fn check_pauses(pauses: &[u64], out_until: u64) {
    let (mut fixture, choice) = noticed(&[1], Notice::default());
    let mut elapsed = 0;
    for seconds in pauses {
        let now = fixture.now();
        fixture.pool.record_notice(&choice, pause(*seconds), now);
        fixture.clock.advance(SECOND);
        elapsed += 1;
    }
    fixture.clock.advance(SECOND * (out_until - elapsed) as u32 - Duration::from_millis(1));
    let rest = Duration::from_millis(1);
    assert_eq!(fixture.choose(&latency_sensitive()), Err(PlacementError::Paused(rest)));
    fixture.clock.advance(rest);
    assert!(fixture.choose(&latency_sensitive()).is_ok());
}

cases! {
    check_pauses {
        one: (&[3], 3),
        growing: (&[2, 4], 5),
        /// Guards against a shorter pause that ends a longer one early.
        shrinking: (&[6, 1], 6),
        again_after_the_end: (&[1, 4], 5),
    }
}

/// Guards against a paused target that gets requests because all others are in back-off, and
/// against requests that wait although none can be sent.
#[test]
fn pause_holds_without_another_target() {
    let (mut fixture, _) = noticed(&[1], pause(3));
    let now = fixture.now();
    let choice =
        fixture.pool.choose(&fixture.service, &latency_sensitive(), &[], Backoff::Ignore, 3, now);
    assert_eq!(choice, Err(PlacementError::Paused(3 * SECOND)));
}

/// Guards against a pause of one target that keeps requests from the others.
#[test]
fn other_targets_get_the_requests() {
    let (mut fixture, paused) = noticed(&[1, 2, 3], pause(3));
    for _ in 0..20 {
        assert_ne!(fixture.send(&latency_sensitive()).target, paused.target);
    }
}

/// Guards against requests that were selected before the notice and are sent after it.
#[test]
fn selected_target_is_checked_again() {
    let (mut fixture, choice) = noticed(&[1], Notice::default());
    let now = fixture.now();
    assert!(fixture.pool.wants_requests(&choice, now));
    fixture.pool.record_notice(&choice, pause(3), now);
    assert!(!fixture.pool.wants_requests(&choice, now));
    assert!(fixture.pool.wants_requests(&choice, now + 3 * SECOND));
}

/// Guards against a leaving target that is drained twice: its mark and the list may agree.
#[test]
fn leaving_and_draining() {
    let (mut fixture, _) = noticed(&[1], LEAVING);
    let mut list = members(&[1]);
    list.get_mut("t1").unwrap().state = MemberState::Draining;
    let now = fixture.now();
    fixture.pool.update_members(list, Duration::ZERO, now);
    assert_eq!(fixture.choose(&latency_sensitive()), Err(PlacementError::NoTarget));
}
