//! Endings of forwarded requests, verdicts on answers and the order of events.

use fulmarhead_lib::{
    clock::Clock,
    forward::{AnswerHead, Call, Ending, EventBuffer, EventError, Failure, Unsent, Verdict},
    request::Deadline,
    routes::Repeat,
};
use std::time::Duration;
use testutils::{ManualClock, cases};

/// What a target did with a call.
#[derive(Clone, Copy)]
enum Event {
    NotSent,
    Rejected,
    Lost,
}

use Event::{Lost, NotSent, Rejected};

fn play(repeat: Repeat, attempts: u32, events: &[Event], clock: &ManualClock) -> Call<Unsent> {
    let deadline = Deadline::after(clock.now(), Duration::from_secs(1));
    let mut call = Call::new(repeat, deadline, attempts);
    for (number, event) in events.iter().enumerate() {
        let sent = call.send(format!("t{number}"));
        call = match event {
            NotSent => sent.not_sent(),
            Rejected => sent.rejected(),
            Lost => sent.lost(),
        };
    }
    call
}

fn check_call(repeat: Repeat, attempts: u32, events: &[Event], may_send: bool, not_run: bool) {
    let clock = ManualClock::default();
    let call = play(repeat, attempts, events, &clock);
    assert_eq!(call.may_send(clock.now()), may_send);
    let ending = call.end(Failure::Rejected);
    let expected = match not_run {
        true => Ending::NotRun(Failure::Rejected),
        false => Ending::Unknown(Failure::Rejected),
    };
    assert_eq!(ending, expected);
}

fn head(status: u16) -> AnswerHead {
    AnswerHead { status, own: true, signed: true, not_run: false, encoded: false, events: false }
}

fn check_verdict(head: AnswerHead, expected: Verdict) {
    assert_eq!(head.verdict(), expected);
}

/// Pushes pieces after the event `last` and compares the whole events.
fn check_events(
    last: Option<u64>,
    pieces: &[&str],
    expected: Result<&str, EventError>,
    whole: bool,
) {
    let mut buffer = EventBuffer::after(last);
    let mut events = Vec::new();
    let mut result = Ok(());
    for piece in pieces {
        match buffer.push(piece.as_bytes()) {
            Ok(bytes) => events.extend(bytes),
            Err(error) => result = Err(error),
        }
    }
    let text = String::from_utf8(events).unwrap();
    assert_eq!(result.map(|()| text.as_str()), expected);
    assert_eq!(buffer.is_whole(), whole);
}

cases! {
    check_call {
        fresh: (Repeat::Never, 1, &[], true, true),
        /// Guards against a booking that runs twice.
        unrepeatable_after_loss: (Repeat::Never, 3, &[Lost], false, false),
        /// Guards against "not run" for a booking that an earlier target may have run.
        unrepeatable_rejected_after_loss: (Repeat::Never, 3, &[Lost, Rejected], false, false),
        unrepeatable_after_rejection: (Repeat::Never, 2, &[Rejected], true, true),
        /// Guards against more targets than the route allows.
        attempts_used_up: (Repeat::Always, 2, &[Rejected, Rejected], false, true),
        /// Guards against a connection that was never set up and counts as an attempt.
        not_sent_is_no_attempt: (Repeat::Never, 1, &[NotSent, NotSent], true, true),
        repeatable_after_loss: (Repeat::Always, 2, &[Lost], true, false),
        resumable_after_loss: (Repeat::Resume, 2, &[Lost], true, false),
    }

    check_verdict {
        success: (head(200), Verdict::Answer),
        failure_of_the_target: (head(500), Verdict::Answer),
        /// Guards against the answer to another request on the connection.
        another_request: (AnswerHead { own: false, ..head(200) }, Verdict::Spoiled),
        unsigned_success: (AnswerHead { signed: false, ..head(200) }, Verdict::Spoiled),
        encoded: (AnswerHead { encoded: true, ..head(200) }, Verdict::Spoiled),
        full: (AnswerHead { not_run: true, signed: false, ..head(503) }, Verdict::Full),
        /// Guards against "not run" for a 503 that does not say so.
        unavailable_after_running: (AnswerHead { own: false, ..head(503) }, Verdict::Spoiled),
        elsewhere: (AnswerHead { own: false, signed: false, ..head(421) }, Verdict::Elsewhere),
        limited: (AnswerHead { not_run: true, ..head(429) }, Verdict::NotRun),
    }

    check_events {
        one: (None, &["id: 1\ndata: a\n\n"], Ok("id: 1\ndata: a\n\n"), true),
        /// Guards against half an event at the caller when a target dies in the middle of it.
        cut_in_the_middle: (None, &["id: 1\ndata: a\n\nid: 2\nda"], Ok("id: 1\ndata: a\n\n"), false),
        in_pieces: (None, &["id: 1\nda", "ta: a\n", "\n"], Ok("id: 1\ndata: a\n\n"), true),
        goes_on: (Some(4), &["id: 5\n\nid: 6\n\n"], Ok("id: 5\n\nid: 6\n\n"), true),
        /// Guards against a piece that is missing after a resume.
        missing: (Some(4), &["id: 6\n\n"], Err(EventError::OutOfOrder { last: 4, found: 6 }), true),
        /// Guards against a piece that comes twice after a resume.
        twice: (Some(4), &["id: 4\n\n"], Err(EventError::OutOfOrder { last: 4, found: 4 }), true),
    }
}

/// Guards against a call that is sent after its time.
#[test]
fn call_ends_with_its_deadline() {
    let clock = ManualClock::default();
    let call = play(Repeat::Always, 3, &[Lost], &clock);
    clock.advance(Duration::from_secs(1));
    assert!(!call.may_send(clock.now()));
}
