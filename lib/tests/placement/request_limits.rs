//! Tests of targets that name a limit on the requests of all entries together.

use crate::fixture::{Fixture, SECOND, latency_sensitive};
use fulmarhead_lib::{
    limits::RequestRate,
    placement::{Choice, LimitChange, RateNotice},
};
use std::time::{Duration, Instant};
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
