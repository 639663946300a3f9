//! Tests of which part is held responsible for crashes.

use crate::fixture::{CRASHING, CRASHING_TOO, FIRST, Fixture, INTERVAL, SILENCE, SOUND, part_set};
use fulmarhead_lib::{
    forward::Progress,
    ids::PromptPartId,
    quarantine::{AnswerStage, Doubt, Feature, FeatureSet},
};
use std::time::Duration;
use testutils::cases;

/// Number of crashes in a row from which a part must be refused: one fewer than callers allow.
const CRASHES: usize = 4;

/// The same if the targets crash after the first event, which is weaker evidence.
const EVENT_CRASHES: usize = 6;

/// Something that one entry sees.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A target crashes as it begins to answer a request with these parts.
    Crash(&'static [PromptPartId]),
    /// A target crashes soon after the first event of a request with these parts.
    CrashAfterEvent(&'static [PromptPartId]),
    /// A target crashes while requests with these parts wait for their answers.
    CrashWhileWaiting(&'static [PromptPartId]),
    /// A request with these parts is answered.
    Answer(&'static [PromptPartId]),
    /// The target that has just crashed had sent the first event of another request with these parts.
    StartedAtSameTarget(&'static [PromptPartId]),
    /// The target that has just crashed was beginning to answer another request with these parts.
    CrashOfSameTarget(&'static [PromptPartId]),
    Wait(Duration),
}
use Step::{
    Answer, Crash, CrashAfterEvent, CrashOfSameTarget, CrashWhileWaiting, StartedAtSameTarget, Wait,
};

/// Repeats `steps` `CRASHES` times, with `INTERVAL` between the repetitions, and checks which of
/// `requests` are sent afterwards.
fn check_refused(steps: &[Step], requests: &[(&[PromptPartId], bool)]) {
    check_refused_after(CRASHES, INTERVAL, steps, requests);
}

fn check_refused_after(
    rounds: usize,
    interval: Duration,
    steps: &[Step],
    requests: &[(&[PromptPartId], bool)],
) {
    let mut fixture = Fixture::new(1);
    for round in 0..rounds {
        for step in steps {
            match *step {
                Crash(parts) => fixture.crash(0, parts),
                CrashAfterEvent(parts) => {
                    fixture.reach(0, AnswerStage::FirstEvent, parts);
                    fixture.crash_of(1_000 + round, 0, Progress::Started, parts);
                }
                StartedAtSameTarget(parts) => {
                    fixture.crash_of(1_000 + round, 0, Progress::Started, parts);
                }
                CrashOfSameTarget(parts) => {
                    fixture.crash_of(1_000 + round, 0, Progress::Begun, parts);
                }
                CrashWhileWaiting(parts) => {
                    fixture.crash_of(1_000 + round, 0, Progress::Waiting, parts);
                }
                Answer(parts) => fixture.answer(0, parts),
                Wait(time) => fixture.clock.advance(time),
            }
        }
        fixture.clock.advance(interval);
    }
    for (parts, refused) in requests {
        assert_eq!(!fixture.allows(0, parts), *refused, "{parts:x?}");
    }
}

cases! {
    check_refused {
        /// Guards against a part that is carried from target to target, and against a refusal of
        /// sound requests that share another part with it.
        part_is_held: (
            &[Answer(&[FIRST, SOUND]), Answer(&[FIRST]), Crash(&[FIRST, CRASHING])],
            &[(&[FIRST, CRASHING], true), (&[FIRST], false), (&[FIRST, SOUND], false)],
        ),
        /// Guards against a first part that is never held because it comes first.
        first_part_is_held: (
            &[Answer(&[SOUND]), Answer(&[SOUND]), Crash(&[FIRST])],
            &[(&[FIRST], true), (&[FIRST, SOUND], true), (&[SOUND], false)],
        ),
        /// Guards against holding a part that requests share which do get answers.
        answered_part_is_not_held: (
            &[Answer(&[FIRST]), Crash(&[FIRST])],
            &[(&[FIRST], false)],
        ),
        /// Guards against blaming one of two parts that the evidence does not tell apart: requests
        /// with only one of them may be sound.
        parts_that_always_come_together: (
            &[Answer(&[SOUND]), Answer(&[SOUND]), Crash(&[FIRST, CRASHING])],
            &[(&[FIRST, CRASHING], true), (&[FIRST], false), (&[CRASHING], false)],
        ),
        /// Guards against a second part that goes unnoticed while another one crashes targets.
        two_parts_at_once: (
            &[
                Answer(&[FIRST]), Answer(&[SOUND]), Crash(&[FIRST, CRASHING]), Wait(INTERVAL),
                Crash(&[FIRST, CRASHING_TOO]),
            ],
            &[
                (&[FIRST, CRASHING], true), (&[FIRST, CRASHING_TOO], true), (&[FIRST], false),
            ],
        ),
        /// Guards against blaming a part of requests that wait at a target which crashes at
        /// another request.
        waiting_requests_are_victims: (
            &[
                Answer(&[FIRST]), Answer(&[FIRST]), Crash(&[FIRST, CRASHING]),
                CrashWhileWaiting(&[FIRST, SOUND]),
            ],
            &[(&[FIRST, CRASHING], true), (&[FIRST, SOUND], false)],
        ),
        /// Guards against blaming a part when nothing is answered at all.
        nothing_is_answered: (&[Crash(&[FIRST, CRASHING])], &[(&[FIRST, CRASHING], false)]),
    }
    check_refused_after {
        /// Guards against a part that is not held for as long as few other requests come.
        quiet_hour: (
            2 * CRASHES, Duration::from_secs(1),
            &[Crash(&[CRASHING])],
            &[(&[FIRST, CRASHING], true), (&[FIRST], false)],
        ),
        /// Guards against blaming a common part of the victims of one power failure.
        targets_that_crash_together: (
            20, Duration::from_millis(1),
            &[Answer(&[SOUND]), Answer(&[SOUND]), Crash(&[FIRST])],
            &[(&[FIRST], false)],
        ),
        /// Guards against a part that crashes a target only now and then.
        rare_requests: (
            CRASHES, Duration::from_secs(20),
            &[Answer(&[FIRST]), Answer(&[FIRST]), Crash(&[FIRST, CRASHING])],
            &[(&[FIRST, CRASHING], true), (&[FIRST], false)],
        ),
        /// Guards against targets that crash soon after they have begun to write.
        crashes_after_the_first_event: (
            EVENT_CRASHES + 1, Duration::from_secs(1),
            &[Answer(&[FIRST]), Answer(&[FIRST]), CrashAfterEvent(&[FIRST, CRASHING])],
            &[(&[FIRST, CRASHING], true), (&[FIRST], false)],
        ),
        /// Guards against a part that goes unnoticed because other requests of the same targets had
        /// begun as well.
        crashes_after_the_first_event_beside_others: (
            EVENT_CRASHES + 1, Duration::from_secs(1),
            &[
                Answer(&[FIRST, SOUND]), Answer(&[FIRST]), CrashAfterEvent(&[FIRST, CRASHING]),
                CrashOfSameTarget(&[FIRST, SOUND]),
            ],
            &[(&[FIRST, CRASHING], true), (&[FIRST, SOUND], false)],
        ),
        /// Guards against such targets that go unnoticed because others of their requests have just
        /// begun.
        crashes_before_any_head_beside_others: (
            2 * CRASHES + 1, Duration::from_secs(1),
            &[
                Answer(&[FIRST, SOUND]), Answer(&[FIRST]), CrashWhileWaiting(&[FIRST, CRASHING]),
                StartedAtSameTarget(&[FIRST, SOUND]),
            ],
            &[(&[FIRST, CRASHING], true), (&[FIRST, SOUND], false)],
        ),
        /// Guards against targets that crash before they send the head of an answer.
        crashes_before_any_head: (
            2 * CRASHES + 1, Duration::from_secs(1),
            &[Answer(&[FIRST]), Answer(&[FIRST]), CrashWhileWaiting(&[FIRST, CRASHING])],
            &[(&[FIRST, CRASHING], true), (&[FIRST], false)],
        ),
    }
}

/// Guards against holding a part too soon, before it has crashed several targets.
#[test]
fn fewer_crashes_hold_nothing() {
    let steps = [Answer(&[FIRST]), Answer(&[FIRST]), Crash(&[FIRST, CRASHING])];
    check_refused_after(CRASHES - 1, INTERVAL, &steps, &[(&[FIRST, CRASHING], false)]);
}

/// Guards against a part that was answered before and is never suspected for that reason.
#[test]
fn part_that_begins_to_crash_targets() {
    let mut fixture = Fixture::new(1);
    fixture.answer(0, &[FIRST, CRASHING]);
    for _ in 0..CRASHES {
        fixture.clock.advance(SILENCE);
        fixture.answer(0, &[FIRST]);
        fixture.answer(0, &[FIRST]);
        fixture.crash(0, &[FIRST, CRASHING]);
    }
    assert!(!fixture.allows(0, &[FIRST, CRASHING]));
    assert!(fixture.allows(0, &[FIRST]));
}

/// Guards against a part that stays unidentified once requests without its companion crash too.
#[test]
fn later_crash_tells_parts_apart() {
    let mut fixture = Fixture::new(1);
    for _ in 0..CRASHES {
        fixture.crash(0, &[FIRST, CRASHING]);
        fixture.answer(0, &[SOUND]);
        fixture.clock.advance(INTERVAL);
    }
    fixture.crash(0, &[SOUND, CRASHING]);
    assert!(!fixture.allows(0, &[CRASHING]));
    assert!(fixture.allows(0, &[FIRST]));
}

/// Guards against a request that is sent to another target although its part has already crashed
/// two, and against a sound one that is not.
#[test]
fn suspected_request_is_not_sent_again() {
    let mut fixture = Fixture::new(1);
    for _ in 0..2 {
        fixture.answer(0, &[FIRST]);
        fixture.crash(0, &[FIRST, CRASHING]);
        fixture.clock.advance(INTERVAL);
    }
    let now = fulmarhead_lib::clock::Clock::now(&fixture.clock);
    assert!(fixture.entries[0].is_suspected(&part_set(&[FIRST, CRASHING]), now));
    assert!(!fixture.entries[0].is_suspected(&part_set(&[FIRST]), now));
}

/// Number of parts of the longest prompts, as many as fit a head of 16 KiB.
const MANY_PARTS: u64 = 2_700;

/// Sends requests with `MANY_PARTS` parts, of which the one at `position` crashes targets, and
/// checks that only that part is held. All others are `answered` in between, or are new each time.
fn check_long_prompt(position: u64, answered: bool) {
    let mut fixture = Fixture::new(2);
    for round in 0..CRASHES as u64 {
        let first = if answered { 0x10_0000 } else { 0x10_0000 * (round + 1) };
        let mut parts: Vec<PromptPartId> = (first..first + MANY_PARTS).collect();
        fixture.answer(0, &[FIRST]);
        fixture.answer(0, if answered { &parts } else { &[SOUND] });
        parts[position as usize] = CRASHING;
        fixture.crash(0, &parts);
        fixture.clock.advance(INTERVAL);
    }
    fixture.exchange_all();
    for entry in 0..2 {
        assert!(!fixture.allows(entry, &[FIRST, CRASHING]), "entry {entry}");
        assert!(fixture.allows(entry, &[FIRST, 0x10_0000, 0x10_0001]), "entry {entry}");
    }
}

cases! {
    check_long_prompt {
        /// Guards against a part that is not found because of its place in a long prompt.
        seventeenth_part: (16, true),
        last_shared_part: (MANY_PARTS - 1, true),
        /// Guards against the loss of the part among others that were never answered.
        first_of_unknown_parts: (0, false),
        last_of_unknown_parts: (MANY_PARTS - 1, false),
    }
}

/// Guards against work that grows with the square of the parts of a prompt: many long prompts are
/// lost in each of several crashes.
#[test]
#[expect(clippy::disallowed_methods, reason = "measures real time")]
fn long_prompts_are_cheap() {
    let began = std::time::Instant::now();
    let mut fixture = Fixture::new(1);
    for crash in 0..8 {
        for request in 0..16 {
            let first = 0x10_0000 * (request + 1);
            let parts: Vec<PromptPartId> = (first..first + MANY_PARTS).collect();
            fixture.crash_of(crash, 0, Progress::Waiting, &parts);
        }
        fixture.clock.advance(Duration::from_secs(1));
    }
    let elapsed = began.elapsed();
    assert!(elapsed < LONG_PROMPTS_LIMIT, "took {elapsed:?}");
}

/// Bound on the time of `long_prompts_are_cheap`; quadratic work would take minutes.
const LONG_PROMPTS_LIMIT: Duration = Duration::from_secs(30);

/// Number of requests that are lost in each crash of a target under load.
const REQUESTS_UNDER_LOAD: u64 = 4;

/// Guards against blaming a part that all requests have while all targets fail under their load.
#[test]
fn part_that_was_answered_is_not_held_while_nothing_is_answered() {
    let mut fixture = Fixture::new(1);
    fixture.answer(0, &[FIRST]);
    for crash in 0..4 * CRASHES as u64 {
        fixture.clock.advance(SILENCE);
        let contents = crash * REQUESTS_UNDER_LOAD..(crash + 1) * REQUESTS_UNDER_LOAD;
        for content in contents.map(Feature::Content) {
            let number = 1_000 + crash as usize;
            let features = FeatureSet::from([Feature::Part(FIRST), content]);
            fixture.lose_of(number, 0, Progress::Begun, &features);
        }
    }
    assert!(fixture.allows(0, &[FIRST]));
}

/// Guards against blaming a part that was answered before as soon as one that never was.
#[test]
fn part_that_was_answered_needs_two_crashes_more() {
    let mut fixture = Fixture::new(1);
    fixture.answer(0, &[FIRST]);
    for _ in 0..CRASHES + 2 {
        assert!(fixture.allows(0, &[FIRST]), "held too early");
        fixture.clock.advance(SILENCE);
        fixture.crash(0, &[FIRST]);
    }
    assert!(!fixture.allows(0, &[FIRST]), "not held");
}

/// Checks what is known against `CRASHING` after one crash less than needed.
fn check_assessment(has_answers: bool, was_answered: bool, required: f64, doubts: &[Doubt]) {
    let mut fixture = Fixture::new(1);
    if was_answered {
        fixture.answer(0, &[CRASHING]);
    }
    for _ in 0..required as usize - 1 {
        fixture.clock.advance(SILENCE);
        fixture.crash(0, &[CRASHING]);
        if has_answers {
            fixture.answer(0, &[FIRST]);
            fixture.answer(0, &[FIRST]);
        }
    }
    let now = fulmarhead_lib::clock::Clock::now(&fixture.clock);
    let assessment = fixture.entries[0].strongest_assessment(now).unwrap();
    assert_eq!(assessment.feature, Feature::Part(CRASHING));
    assert_eq!((assessment.evidence(), assessment.required()), (required - 1.0, required));
    assert_eq!(assessment.doubts, doubts.iter().copied().collect());
}

cases! {
    check_assessment {
        /// Guards against a log that does not say why a part is not held.
        nothing_in_doubt: (true, false, 4.0, &[]),
        nothing_else_answered: (false, false, 5.0, &[Doubt::NothingElseAnswered]),
        answered_before: (
            false, true, 6.0, &[Doubt::NothingElseAnswered, Doubt::AnsweredBefore]
        ),
    }
}
