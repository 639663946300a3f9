//! Tests of retries and outcomes of forwarded requests, and the classification of responses.

use fulmarhead_lib::{
    clock::Clock,
    forward::{
        Call, Failure, FailureOutcome, RequestMatch, ResponseHead, StopSchedule, Unsent, Verdict,
    },
    placement::{Notice, RateNotice},
    request::Deadline,
    routes::RetryPolicy,
};
use std::time::Duration;
use testutils::{ManualClock, cases};

/// Result of one attempt of a call.
#[derive(Clone, Copy)]
enum AttemptEvent {
    NotSent,
    Rejected,
    HelperFailed,
    Lost,
}

use AttemptEvent::{HelperFailed, Lost, NotSent, Rejected};

fn run_call(
    retry_policy: RetryPolicy,
    max_attempts: u32,
    events: &[AttemptEvent],
    clock: &ManualClock,
) -> Call<Unsent> {
    let deadline = Deadline::after(clock.now(), Duration::from_secs(1));
    let mut call = Call::new(retry_policy, deadline, max_attempts);
    for (number, event) in events.iter().enumerate() {
        let sent = call.send(format!("t{number}"));
        call = match event {
            NotSent => sent.record_not_sent(),
            Rejected => sent.record_rejected(),
            HelperFailed => sent.record_helper_failed(),
            Lost => sent.record_lost(),
        };
    }
    call
}

fn check_call(
    retry_policy: RetryPolicy,
    max_attempts: u32,
    events: &[AttemptEvent],
    may_send: bool,
    not_run: bool,
) {
    let clock = ManualClock::default();
    let call = run_call(retry_policy, max_attempts, events, &clock);
    assert_eq!(call.may_send(clock.now()), may_send);
    let outcome = call.end(Failure::Rejected);
    let expected = match not_run {
        true => FailureOutcome::NotRun(Failure::Rejected),
        false => FailureOutcome::Unknown(Failure::Rejected),
    };
    assert_eq!(outcome, expected);
}

/// Guards against a retry with other helpers that the retry budget does not count.
#[test]
fn retry_after_failed_helper_counts() {
    let clock = ManualClock::default();
    let call = run_call(RetryPolicy::Never, 3, &[HelperFailed], &clock);
    assert!(call.is_retry() && call.tried().is_empty());
    assert!(!run_call(RetryPolicy::Never, 3, &[NotSent], &clock).is_retry());
}

fn response_head(status: u16) -> ResponseHead {
    ResponseHead {
        status,
        request_match: RequestMatch::Same,
        signed: true,
        not_run: false,
        encoded: false,
        refused_by: None,
        event_stream: false,
        delimited: true,
        notice: Notice::default(),
        rate_notice: RateNotice::Absent,
        observed_load: None,
    }
}

fn check_verdict(response_head: ResponseHead, expected: Verdict) {
    assert_eq!(response_head.verdict(), expected);
}

/// Checks that a process with a grace time of `grace_ms` milliseconds ends requests, and aborts their
/// connections after that, before it is killed. It has to accept connections for some time before.
fn check_times(grace_ms: u64) {
    let clock = ManualClock::default();
    let (now, grace) = (clock.now(), Duration::from_millis(grace_ms));
    let schedule = StopSchedule::new(now, grace);
    let deregistered = schedule.until_deregistered(now);
    let aborted = deregistered + StopSchedule::abort_delay(grace);
    let times = [Duration::ZERO, deregistered, schedule.remaining(now), aborted, grace];
    assert!(times.is_sorted_by(|a, b| a < b), "{times:?}");
}

/// Checks whether an entry with a grace time of 8 s takes a request with a time limit of `limit`
/// milliseconds that arrives `at` milliseconds after the begin of its stop.
fn check_admitted(retry_policy: RetryPolicy, limit: u64, at: u64, expected: bool) {
    let clock = ManualClock::default();
    let schedule = StopSchedule::new(clock.now(), Duration::from_secs(8));
    clock.advance(Duration::from_millis(at));
    let deadline = Deadline::after(clock.now(), Duration::from_millis(limit));
    assert_eq!(schedule.admits(retry_policy, deadline, clock.now()), expected);
}

cases! {
    check_times {
        /// Guards against requests that get no answer because a short grace time is over before
        /// the time for new connections.
        grace_of_one_second: (1_000),
        grace_of_two_seconds: (2_000),
        grace_of_eight_seconds: (8_000),
        grace_of_thirty_seconds: (30_000),
    }

    check_admitted {
        order_at_the_begin: (RetryPolicy::Never, 1_500, 0, true),
        order_that_ends_in_time: (RetryPolicy::Never, 600, 6_800, true),
        /// Guards against an order that is cut at the end, so that its outcome is unknown.
        order_that_may_be_cut: (RetryPolicy::Never, 1_500, 6_000, false),
        long_order_at_the_begin: (RetryPolicy::Never, 8_000, 0, false),
        /// Guards against refusing what the load balancer still sends here.
        stream_at_the_begin: (RetryPolicy::Resume, 15_000, 2_500, true),
        late_stream: (RetryPolicy::Resume, 15_000, 2_600, false),
        late_stream_that_ends_in_time: (RetryPolicy::Resume, 4_000, 3_000, true),
        late_stock_check: (RetryPolicy::Always, 600, 7_000, false),
    }

    check_call {
        not_sent_yet: (RetryPolicy::Never, 1, &[], true, true),
        /// Guards against running a non-idempotent call twice.
        not_retryable_after_loss: (RetryPolicy::Never, 3, &[Lost], false, false),
        /// Guards against reporting "not run" for a non-idempotent call that an earlier target may
        /// have run.
        not_retryable_rejected_after_loss: (RetryPolicy::Never, 3, &[Lost, Rejected], false, false),
        not_retryable_after_rejection: (RetryPolicy::Never, 2, &[Rejected], true, true),
        /// Guards against exceeding the route's maximum number of attempts.
        attempts_exhausted: (RetryPolicy::Always, 2, &[Rejected, Rejected], false, true),
        /// Guards against a call that is sent without bound to a target whose helpers all fail.
        attempts_exhausted_by_failed_helpers: (
            RetryPolicy::Always, 2, &[HelperFailed; 7], false, true,
        ),
        /// Guards against refusing a long prompt because of a few of its helpers.
        six_helpers_failed: (RetryPolicy::Never, 1, &[HelperFailed; 6], true, true),
        helper_failed_once: (RetryPolicy::Never, 2, &[HelperFailed], true, true),
        /// Guards against counting a failed helper and an unsent attempt as attempts.
        not_sent_after_failed_helper: (
            RetryPolicy::Always, 2, &[HelperFailed, NotSent, Rejected], true, true,
        ),
        attempts_exhausted_after_failed_helper: (
            RetryPolicy::Always, 2, &[HelperFailed, Rejected, Rejected], false, true,
        ),
        /// Guards against counting a connection that could not be established as an attempt.
        unsent_call_is_no_attempt: (RetryPolicy::Never, 1, &[NotSent, NotSent], true, true),
        retryable_after_loss: (RetryPolicy::Always, 2, &[Lost], true, false),
        resumable_after_loss: (RetryPolicy::Resume, 2, &[Lost], true, false),
    }

    check_verdict {
        success: (response_head(200), Verdict::Answer),
        server_error: (response_head(500), Verdict::Answer),
        /// Guards against accepting a response to another request on the same connection.
        response_to_another_request: (
            ResponseHead { request_match: RequestMatch::Other, ..response_head(200) },
            Verdict::Invalid,
        ),
        success_of_unknown_sender: (
            ResponseHead { request_match: RequestMatch::Absent, ..response_head(200) },
            Verdict::Invalid,
        ),
        unsigned_success: (ResponseHead { signed: false, ..response_head(200) }, Verdict::Invalid),
        encoded: (ResponseHead { encoded: true, ..response_head(200) }, Verdict::Invalid),
        full: (ResponseHead { not_run: true, signed: false, ..response_head(503) }, Verdict::Full),
        /// Guards against treating a 503 as "not run" that carries neither the "not executed" mark
        /// nor the identifier of the request.
        unavailable_of_unknown_sender: (
            ResponseHead { request_match: RequestMatch::Absent, ..response_head(503) },
            Verdict::Invalid,
        ),
        wrong_target: (
            ResponseHead {
                request_match: RequestMatch::Absent,
                signed: false,
                ..response_head(421)
            },
            Verdict::WrongTarget,
        ),
        /// Guards against "not run" because of a refusal that was meant for another request.
        refusal_of_another_request: (
            ResponseHead { not_run: true, request_match: RequestMatch::Other, ..response_head(503) },
            Verdict::Invalid,
        ),
        misdirection_of_another_request: (
            ResponseHead { request_match: RequestMatch::Other, ..response_head(421) },
            Verdict::Invalid,
        ),
        rate_limited: (ResponseHead { not_run: true, ..response_head(429) }, Verdict::NotRun),
    }
}

/// Guards against sending a call after its deadline.
#[test]
fn call_ends_with_its_deadline() {
    let clock = ManualClock::default();
    let call = run_call(RetryPolicy::Always, 3, &[Lost], &clock);
    clock.advance(Duration::from_secs(1));
    assert!(!call.may_send(clock.now()));
}
