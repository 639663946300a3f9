//! Tests of one request that crashes its targets, and whose caller repeats it.

use crate::fixture::{CRASHING, FIRST, Fixture, INTERVAL};
use fulmarhead_lib::{
    clock::Clock,
    forward::Progress::{self, Begun, Started, Waiting},
    ids::{ContentDigest, PromptPartId},
    quarantine::{Content, Feature, FeatureSet},
};
use std::time::Duration;
use testutils::cases;

/// Content that crashes targets.
const DEADLY: ContentDigest = 0xdead;

/// Time after which a crash counts for requests that waited.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Time after which a hold and its spread are over.
const FIRST_HOLD: Duration = Duration::from_secs(720);

/// Returns the features of a request with `parts`.
fn request(parts: &[PromptPartId], content: ContentDigest) -> FeatureSet {
    let parts = parts.iter().copied().map(Feature::Part);
    parts.chain([Feature::Content(content)]).collect()
}

/// Crashes a target at each of `contents`, all of requests with `parts`, and checks which of `sent`
/// are sent afterwards.
fn check_contents(
    parts: &[PromptPartId],
    contents: &[ContentDigest],
    sent: &[(&[PromptPartId], ContentDigest, bool)],
) {
    let mut fixture = Fixture::new(1);
    for content in contents {
        fixture.answer_to(0, &request(&[], 0xa0));
        fixture.lose(0, Begun, &request(parts, *content));
        fixture.clock.advance(INTERVAL);
    }
    for (parts, content, expected) in sent {
        let sends = fixture.sends(0, &request(parts, *content));
        assert_eq!(sends, *expected, "{parts:x?} {content:x}");
    }
}

cases! {
    check_contents {
        /// Guards against a request that is carried from target to target under new identifiers.
        repeated_request_is_held: (
            &[FIRST], &[DEADLY; 4],
            &[(&[FIRST], DEADLY, false), (&[FIRST], 1, true)],
        ),
        /// Guards against refusing sound requests because of a part that they share with it.
        shared_part_is_not_held: (
            &[FIRST], &[DEADLY; 9],
            &[(&[FIRST], DEADLY, false), (&[FIRST], 1, true)],
        ),
        two_repeated_requests: (
            &[FIRST], &[DEADLY, 0xde, DEADLY, 0xde, DEADLY, 0xde, DEADLY, 0xde],
            &[(&[FIRST], DEADLY, false), (&[FIRST], 0xde, false), (&[FIRST], 1, true)],
        ),
        /// Guards against a part that is not held because repeats explain some of the crashes.
        crashing_part_of_requests_that_are_repeated: (
            &[CRASHING], &[1, 1, 2, 2, 3],
            &[(&[CRASHING], 9, false), (&[], 1, true)],
        ),
        part_after_a_held_content: (
            &[CRASHING], &[1, 1, 1, 1, 2, 2, 3],
            &[(&[CRASHING], 9, false), (&[], 1, false)],
        ),
    }
}

/// Checks that a content which is lost in crashes with the progress of each of `losses` is held after
/// the last of them and not before. Several other requests wait at the same targets if `has_others`,
/// and are answered elsewhere.
fn check_threshold(losses: &[Progress], has_others: bool, was_answered: bool) {
    check_held_after(losses, has_others, was_answered, true);
}

/// The same for a content that was answered before, while nothing else is answered.
fn check_quiet_threshold(losses: &[Progress]) {
    check_held_after(losses, false, true, false);
}

fn check_held_after(losses: &[Progress], has_others: bool, was_answered: bool, has_answers: bool) {
    let mut fixture = Fixture::new(1);
    let deadly = request(&[], DEADLY);
    if was_answered {
        fixture.answer_to(0, &deadly);
    }
    for (number, progress) in losses.iter().enumerate() {
        fixture.clock.advance(3 * SETTLING_TIME);
        if has_answers {
            fixture.answer_to(0, &request(&[], 0xa0));
        }
        assert!(fixture.sends(0, &deadly), "held too early");
        fixture.lose(0, *progress, &deadly);
        for other in (0..4).filter(|_| has_others) {
            let content = (4 * number + other) as ContentDigest;
            fixture.lose_at_same_target(0, Waiting, &request(&[], content));
        }
        fixture.clock.advance(SETTLING_TIME);
        let now = fixture.clock.now();
        fixture.entries[0].review(now);
    }
    assert!(!fixture.sends(0, &deadly), "not held");
}

cases! {
    check_threshold {
        /// Guards against more than three crashes after the third, which shows the cause.
        answers_that_begin: (&[Begun; 4], false, false),
        answers_that_have_begun_to_write: (&[Started; 6], false, false),
        /// Guards against a call that is never held because its answer does not begin.
        calls: (&[Waiting; 4], false, false),
        calls_beside_others: (&[Waiting; 6], true, false),
        /// Guards against holding a call that many callers repeat while its service is down.
        calls_that_were_answered_before: (&[Waiting; 8], false, true),
        answered_calls_beside_others: (&[Waiting; 11], true, true),
    }
    check_quiet_threshold {
        /// Guards against a request that was answered before and is never held in a quiet hour: three
        /// crashes show the cause, and three may follow.
        answered_before_in_a_quiet_hour: (&[Begun; 5]),
        answered_before_with_events_in_a_quiet_hour: (&[Started; 6]),
        answered_call_in_a_quiet_hour: (&[Waiting; 5]),
    }
}

/// Guards against refusing the requests that wait at targets which crash at another one, and a call
/// that many callers repeat when its targets lose power together.
#[test]
fn victims_are_not_held() {
    let mut fixture = Fixture::new(1);
    for _ in 0..8 {
        fixture.lose(0, Begun, &request(&[FIRST], DEADLY));
        fixture.lose_at_same_target(0, Waiting, &request(&[FIRST], 1));
        fixture.clock.advance(SETTLING_TIME);
    }
    fixture.answer_to(0, &request(&[], 2));
    fixture.clock.advance(4 * SETTLING_TIME);
    for _ in 0..7 {
        fixture.lose(0, Begun, &request(&[], 2));
        fixture.clock.advance(Duration::from_millis(1));
    }
    assert!(!fixture.sends(0, &request(&[FIRST], DEADLY)));
    assert!(fixture.sends(0, &request(&[FIRST], 1)));
    assert!(fixture.sends(0, &request(&[], 2)));
}

/// Loses the calls of each of `crashes` together, and checks that exactly `held` are held afterwards.
fn check_calls_at_once(crashes: &[&[ContentDigest]], held: &[ContentDigest]) {
    let mut fixture = Fixture::new(1);
    for calls in crashes {
        fixture.lose(0, Waiting, &request(&[], calls[0]));
        for call in &calls[1..] {
            fixture.lose_at_same_target(0, Waiting, &request(&[], *call));
        }
        fixture.clock.advance(SETTLING_TIME);
        let now = fixture.clock.now();
        fixture.entries[0].review(now);
    }
    for call in crashes.iter().copied().flatten() {
        assert_eq!(!fixture.sends(0, &request(&[], *call)), held.contains(call), "{call:x}");
    }
}

cases! {
    check_calls_at_once {
        /// Guards against a call that is held a crash later because another one that crashes targets
        /// waited in one of its crashes.
        crash_of_two_calls: (
            &[&[DEADLY], &[0xde], &[DEADLY], &[0xde], &[DEADLY], &[0xde], &[DEADLY, 0xde]],
            &[DEADLY, 0xde],
        ),
        /// Guards against blaming a call that only waited beside another one that crashes targets.
        call_beside_another: (
            &[&[DEADLY], &[DEADLY, 1], &[DEADLY, 1], &[DEADLY, 1], &[DEADLY, 1]],
            &[DEADLY],
        ),
    }
}

/// Guards against entries that each have to see all crashes.
#[test]
fn crashes_at_several_entries_count_together() {
    let mut fixture = Fixture::new(3);
    for crash in 0..4 {
        fixture.lose(crash % 3, Begun, &request(&[FIRST], DEADLY));
        fixture.clock.advance(INTERVAL);
    }
    fixture.exchange_all();
    for entry in 0..3 {
        assert!(!fixture.sends(entry, &request(&[FIRST], DEADLY)), "entry {entry}");
        assert!(fixture.sends(entry, &request(&[FIRST], 1)), "entry {entry}");
    }
}

/// Guards against a call that crashes a target in each trial without being held for longer.
#[test]
fn call_that_crashes_its_trial_is_held_again() {
    let mut fixture = Fixture::new(1);
    let deadly = request(&[], DEADLY);
    for _ in 0..4 {
        fixture.lose(0, Begun, &deadly);
        fixture.clock.advance(INTERVAL);
    }
    fixture.clock.advance(FIRST_HOLD);
    let now = fixture.clock.now();
    assert!(fixture.entries[0].begin_send(&deadly, now).is_ok());
    fixture.lose(0, Waiting, &deadly);
    fixture.clock.advance(FIRST_HOLD);
    assert!(!fixture.sends(0, &deadly), "not held for longer");
}

const CONTENT: Content<'_> = Content {
    method: "POST",
    host: "h.example",
    path: "/a/b",
    team: Some("club"),
    body: b"c",
    prompt: 7,
};

/// The same without a body.
const BARE: Content<'_> = Content { body: b"", ..CONTENT };

/// Checks whether a content has the same digest as `CONTENT`.
fn check_digest(other: Content<'_>, same: bool) {
    check_digests(CONTENT, other, same);
}

fn check_digests(content: Content<'_>, other: Content<'_>, same: bool) {
    assert_eq!(other.digest() == content.digest(), same);
}

cases! {
    check_digest {
        repeat: (CONTENT, true),
        host_in_capitals: (Content { host: "H.Example", ..CONTENT }, true),
        /// Guards against refusing another caller's request, or another request of the same caller.
        other_team: (Content { team: None, ..CONTENT }, false),
        other_path: (Content { path: "/a/c", ..CONTENT }, false),
        other_method: (Content { method: "PUT", ..CONTENT }, false),
        other_body: (Content { body: b"d", ..CONTENT }, false),
        field_boundary: (Content { path: "/a/bc", team: Some("lub"), ..CONTENT }, false),
    }
    check_digests {
        repeat_without_body: (BARE, BARE, true),
        /// Guards against different prompts that are taken for repeats of one request because their
        /// bodies are empty.
        other_prompt_without_body: (BARE, Content { prompt: 8, ..BARE }, false),
        /// Guards against a repeat that is not recognized although its body is the same.
        repeat_with_other_parts: (CONTENT, Content { prompt: 8, ..CONTENT }, true),
    }
}
