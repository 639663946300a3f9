//! Tests of the idempotency key ledger.

use fulmarhead_lib::{
    clock::{Clock, MonotonicWallClock},
    ids::Fingerprint,
    keys::{
        Answer, CallDecision, Claim, Dispatched, IdempotencyKey, KeyLedger, KeySettings, Recorded,
    },
    outcome::{Outcome, Reason, Refusal},
};
use quickcheck::{Gen, QuickCheck};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};
use testutils::{ManualClock, cases};
use uuid::Uuid;

const INCARNATION: u64 = 7;
const FINGERPRINT: Fingerprint = [1; 32];
const OTHER_FINGERPRINT: Fingerprint = [2; 32];

struct Fixture {
    clock: ManualClock,
    ledger: KeyLedger,
}

impl Fixture {
    fn new(settings: KeySettings) -> Self {
        let clock = ManualClock::default();
        let wall = MonotonicWallClock::new(&clock);
        Self { ledger: KeyLedger::new("w1".to_owned(), INCARNATION, settings, wall), clock }
    }

    fn key(&self) -> IdempotencyKey {
        IdempotencyKey::issue("w1".to_owned(), INCARNATION, self.clock.wall())
    }

    fn begin(&mut self, key: &IdempotencyKey) -> CallDecision {
        self.ledger.begin(key, &FINGERPRINT, Ok(()), self.clock.now())
    }

    fn run(&mut self, key: &IdempotencyKey) -> Claim<Dispatched> {
        let CallDecision::Run(claim) = self.begin(key) else {
            panic!("a new key got no claim: {key}")
        };
        self.ledger.dispatch(claim)
    }

    fn run_and_answer(&mut self, size: usize) -> IdempotencyKey {
        let key = self.key();
        let claim = self.run(&key);
        self.ledger.record_answer(claim, answer(size));
        key
    }
}

fn answer(size: usize) -> Answer {
    Answer { status: 200, media_type: "text/plain".to_owned(), body: Some(vec![1; size].into()) }
}

fn describe(decision: CallDecision) -> String {
    match decision {
        CallDecision::Run(_) => "run".to_owned(),
        CallDecision::Wait => "wait".to_owned(),
        CallDecision::Replay(answer) => format!("replay {}", answer.status),
        CallDecision::Refuse(refusal) => refusal.to_string(),
    }
}

/// Checks the decision about a second call with the same key after `first_call` has run.
fn check_repeated_call(first_call: fn(&mut Fixture, &IdempotencyKey), expected: &str) {
    let mut fixture = Fixture::new(KeySettings::default());
    let key = fixture.key();
    first_call(&mut fixture, &key);
    assert_eq!(describe(fixture.begin(&key)), expected);
}

fn refuse_first(fixture: &mut Fixture, key: &IdempotencyKey) {
    let now = fixture.clock.now();
    let decision = fixture.ledger.begin(key, &FINGERPRINT, Err(Reason::OutOfService), now);
    assert_eq!(describe(decision), "out_of_service (not_run)");
}

fn abandon(fixture: &mut Fixture, key: &IdempotencyKey) {
    let CallDecision::Run(claim) = fixture.begin(key) else {
        panic!("a new key got no claim: {key}")
    };
    let refusal = fixture.ledger.abandon(claim, Reason::DeadlineExceeded);
    assert_eq!(refusal.outcome, Outcome::NotRun);
}

fn use_other_fingerprint(fixture: &mut Fixture, key: &IdempotencyKey) {
    let decision = fixture.ledger.begin(key, &OTHER_FINGERPRINT, Ok(()), fixture.clock.now());
    assert!(matches!(decision, CallDecision::Run(_)));
}

/// Answers a key and lets it expire through a call with a later time, so that the next caller
/// passes an earlier time.
fn expire_at_later_time(fixture: &mut Fixture, key: &IdempotencyKey) {
    let claim = fixture.run(key);
    fixture.ledger.record_answer(claim, answer(1));
    let later = fixture.clock.now() + Duration::from_secs(601);
    let other = fixture.key();
    let _ = fixture.ledger.begin(&other, &FINGERPRINT, Ok(()), later);
}

fn run_past_expiry(fixture: &mut Fixture, key: &IdempotencyKey) {
    let _running = fixture.run(key);
    fixture.clock.advance(Duration::from_secs(601));
}

cases! {
    check_repeated_call {
        /// Guards against a second claim while the call of the first claim has not been sent.
        a_recorded_key_waits: (|f, key| assert!(matches!(f.begin(key), CallDecision::Run(_))), "wait"),
        /// Guards against a second claim while the call is in progress.
        a_dispatched_key_waits: (|f, key| { let _ = f.run(key); }, "wait"),
        /// Guards against a second run after the call was answered.
        an_answered_key_replays: (
            |f, key| { let claim = f.run(key); f.ledger.record_answer(claim, answer(1)) },
            "replay 200",
        ),
        /// Guards against reporting `not_run` for a call that took effect before its answer was
        /// lost.
        a_lost_answer_is_unknown: (
            |f, key| { let claim = f.run(key); f.ledger.record_lost(claim); },
            "target_failed (unknown)",
        ),
        /// Guards against running a key after its caller received `not_run`.
        a_refused_key_never_runs: (refuse_first, "out_of_service (not_run)"),
        /// Guards against running a key after its claim was abandoned.
        an_abandoned_key_never_runs: (abandon, "deadline_exceeded (not_run)"),
        /// Guards against running a key after the connection to the application failed.
        an_unsent_key_never_runs: (
            |f, key| { let claim = f.run(key); f.ledger.record_unsent(claim, Reason::TargetFailed); },
            "target_failed (not_run)",
        ),
        /// Guards against returning the answer of one request to a different request.
        a_reused_key_is_refused: (use_other_fingerprint, "key_reused (unknown)"),
        /// Guards against a second run of an expired key. The key is removed by a call with a later
        /// time than the one that a delayed caller passes.
        a_removed_key_stays_expired: (expire_at_later_time, "key_expired (unknown)"),
        /// Guards against removing a call in progress, whose caller would get no answer.
        a_running_key_is_not_removed: (run_past_expiry, "wait"),
    }
}

/// Checks the decision about a key that the ledger has no record of.
fn check_new_key(prepare: fn(&mut Fixture, &mut IdempotencyKey), expected: &str) {
    let settings = KeySettings { capacity: 1, ..KeySettings::default() };
    let mut fixture = Fixture::new(settings);
    let mut key = fixture.key();
    prepare(&mut fixture, &mut key);
    assert_eq!(describe(fixture.begin(&key)), expected);
}

fn advance(fixture: &mut Fixture, seconds: u64) {
    fixture.clock.advance(Duration::from_secs(seconds));
}

cases! {
    check_new_key {
        /// Guards against refusing a valid new key.
        a_new_key_runs: (|_, _| {}, "run"),
        /// Guards against running a key at a target that does not own it.
        another_target_refuses: (|_, key| key.target = "w2".to_owned(), "wrong_target (unknown)"),
        /// Guards against running a key of an earlier incarnation again, and against reporting
        /// `not_run` for it.
        another_incarnation_refuses: (|_, key| key.incarnation = 8, "key_owner_gone (unknown)"),
        /// Guards against running a key whose record may already have been removed.
        an_old_key_is_refused: (|f, _| advance(f, 601), "key_expired (unknown)"),
        /// Guards against refusing a key before its retention ends.
        a_key_is_valid_until_its_retention_ends: (|f, _| advance(f, 599), "run"),
        /// Guards against records that a forged time of issue keeps in the ledger forever.
        a_key_from_the_future_is_refused: (
            |f, key| {
                let wall = f.clock.wall() + Duration::from_secs(3);
                *key = IdempotencyKey::issue("w1".to_owned(), INCARNATION, wall);
            },
            "key_from_future (unknown)",
        ),
        /// Guards against keys that expire or become valid again when the wall clock steps.
        a_step_of_the_wall_clock_has_no_effect: (
            |f, _| f.clock.step_wall(f.clock.wall() + Duration::from_secs(9_000)),
            "run",
        ),
        /// Guards against reporting `not_run` for a key that is not recorded.
        a_full_ledger_refuses_as_unknown: (
            |f, _| { f.run_and_answer(1); },
            "ledger_full (unknown)",
        ),
        /// Guards against a full ledger that does not remove expired keys.
        expired_keys_free_capacity: (
            |f, key| { f.run_and_answer(1); advance(f, 601); *key = f.key() },
            "run",
        ),
    }
}

/// Checks which of three answers of 100 bytes a ledger with a limit of `limit` bytes stores.
fn check_stored_answers(limit: usize, expected: [bool; 3]) {
    let settings = KeySettings { max_bytes: limit, ..KeySettings::default() };
    let mut fixture = Fixture::new(settings);
    let keys = [(); 3].map(|()| {
        fixture.clock.advance(Duration::from_millis(5));
        fixture.run_and_answer(100)
    });
    let evicted = Some(Err(Refusal::unknown(Reason::AnswerNotKept)));
    for (key, stored) in keys.iter().zip(expected) {
        let result = fixture.ledger.result(key.id);
        assert_eq!(result, if stored { Some(Ok(answer(100))) } else { evicted.clone() });
    }
    assert_eq!(
        fixture.ledger.stored_bytes(),
        100 * expected.iter().filter(|stored| **stored).count()
    );
}

cases! {
    check_stored_answers {
        /// Guards against evicting answers that fit.
        all_answers_fit: (300, [true, true, true]),
        /// Guards against memory use that grows with each answer, and against replaying an evicted
        /// answer with an empty body.
        the_oldest_answer_is_evicted_first: (299, [false, true, true]),
        /// Guards against evicting an answer that its caller has not received yet.
        the_newest_answer_is_not_evicted: (50, [false, false, true]),
    }
}

/// Claims, effects and `not_run` refusals of a ledger under random events.
#[derive(Default)]
struct Execution {
    recorded: Vec<(Uuid, Claim<Recorded>)>,
    dispatched: Vec<(Uuid, Claim<Dispatched>)>,
    effects: BTreeSet<Uuid>,
    not_run: BTreeSet<Uuid>,
}

impl Execution {
    /// Applies one event and returns whether each call has taken effect at most once, and none that
    /// was refused as `not_run`.
    fn step(
        &mut self,
        ledger: &mut KeyLedger,
        event: u8,
        key: &IdempotencyKey,
        now: Instant,
    ) -> bool {
        // 0, 1: call with a key; 2: dispatch; 3: abandon; 4: effect and end; 5: sending failed.
        let (recorded, dispatched) = match event % 6 {
            0 | 1 => (None, None),
            2 | 3 => (self.recorded.pop(), None),
            _ => (None, self.dispatched.pop()),
        };
        match (event % 6, recorded, dispatched) {
            (0 | 1, ..) => return self.begin(ledger, event, key, now),
            (2, Some((id, claim)), _) => self.dispatched.push((id, ledger.dispatch(claim))),
            (3, Some((id, claim)), _) => {
                return self.record_refusal(id, ledger.abandon(claim, Reason::DeadlineExceeded));
            }
            (4, _, Some((id, claim))) => return self.finish(ledger, event, id, claim),
            (_, _, Some((id, claim))) => {
                return self.record_refusal(id, ledger.record_unsent(claim, Reason::TargetFailed));
            }
            _ => {}
        }
        true
    }

    fn begin(
        &mut self,
        ledger: &mut KeyLedger,
        event: u8,
        key: &IdempotencyKey,
        now: Instant,
    ) -> bool {
        let admission = if event.is_multiple_of(5) { Err(Reason::OutOfService) } else { Ok(()) };
        match ledger.begin(key, &FINGERPRINT, admission, now) {
            CallDecision::Run(claim) => self.recorded.push((key.id, claim)),
            CallDecision::Refuse(refusal) => return self.record_refusal(key.id, refusal),
            CallDecision::Wait | CallDecision::Replay(_) => {}
        }
        true
    }

    /// Lets the call take effect, then records that its answer was received or lost.
    fn finish(
        &mut self,
        ledger: &mut KeyLedger,
        event: u8,
        id: Uuid,
        claim: Claim<Dispatched>,
    ) -> bool {
        if event.is_multiple_of(8) {
            ledger.record_lost(claim);
        } else {
            ledger.record_answer(claim, answer(10));
        }
        self.effects.insert(id) && !self.not_run.contains(&id)
    }

    /// Records a refusal and returns whether it is true: a call refused as `not_run` has had no
    /// effect.
    fn record_refusal(&mut self, id: Uuid, refusal: Refusal) -> bool {
        if refusal.outcome != Outcome::NotRun {
            return true;
        }
        self.not_run.insert(id);
        !self.effects.contains(&id)
    }
}

/// Returns whether each call takes effect at most once, and none refused as `not_run`, under random
/// events whose times lag by up to 255 s.
fn runs_at_most_once(events: Vec<(u8, u8, u8)>) -> bool {
    let settings = KeySettings { capacity: 6, max_bytes: 25, ..KeySettings::default() };
    let mut fixture = Fixture::new(settings);
    fixture.clock.advance(Duration::from_secs(300));
    let mut keys: Vec<IdempotencyKey> = Vec::new();
    let mut execution = Execution::default();
    events.into_iter().all(|(event, pick, time)| {
        if keys.len() < 8 {
            keys.push(fixture.key());
        }
        let key = &keys[usize::from(pick) % keys.len()];
        let delay = if pick > 128 { Duration::ZERO } else { Duration::from_secs(time.into()) };
        let now = fixture.clock.now() - delay;
        fixture.clock.advance(Duration::from_secs(time.into()));
        execution.step(&mut fixture.ledger, event, key, now)
    })
}

fn check_random_events(seed: u64) {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(80, seed)).tests(2_000);
    let result = check.quicktest(runs_at_most_once as fn(Vec<(u8, u8, u8)>) -> bool);
    assert!(result.is_ok(), "seed {seed}: {result:?}");
}

cases! {
    check_random_events {
        /// Guards against a second effect, or an effect despite `not_run`, in event orders that no
        /// other test covers.
        random_events_of_seed_1: (1),
        random_events_of_seed_2: (2),
        random_events_of_seed_3: (3),
    }
}
