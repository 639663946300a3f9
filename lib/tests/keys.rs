//! Behaviour of the ledger of idempotency keys.

use fulmarhead_lib::{
    clock::{Clock, MonotonicWallClock},
    ids::Fingerprint,
    keys::{Answer, Begin, Claim, Dispatched, IdempotencyKey, KeyLedger, KeySettings, Recorded},
    outcome::{Outcome, Reason, Refusal},
};
use quickcheck::{Gen, QuickCheck};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};
use testutils::{ManualClock, cases};
use uuid::Uuid;

const LIFE: u64 = 7;
const BODY: Fingerprint = [1; 32];
const OTHER_BODY: Fingerprint = [2; 32];

struct Fixture {
    clock: ManualClock,
    ledger: KeyLedger,
}

impl Fixture {
    fn new(settings: KeySettings) -> Self {
        let clock = ManualClock::default();
        let wall = MonotonicWallClock::new(&clock);
        Self { ledger: KeyLedger::new("w1".to_owned(), LIFE, settings, wall), clock }
    }

    fn key(&self) -> IdempotencyKey {
        IdempotencyKey::issue("w1".to_owned(), LIFE, self.clock.wall())
    }

    fn begin(&mut self, key: &IdempotencyKey) -> Begin {
        self.ledger.begin(key, &BODY, Ok(()), self.clock.now())
    }

    fn run(&mut self, key: &IdempotencyKey) -> Claim<Dispatched> {
        let Begin::Run(claim) = self.begin(key) else { panic!("the key is new") };
        self.ledger.dispatch(claim)
    }

    fn answer(&mut self, size: usize) -> IdempotencyKey {
        let key = self.key();
        let claim = self.run(&key);
        self.ledger.answer(claim, answer(size));
        key
    }
}

fn answer(size: usize) -> Answer {
    Answer { status: 200, media_type: "text/plain".to_owned(), body: Some(vec![1; size].into()) }
}

fn describe(begin: Begin) -> String {
    match begin {
        Begin::Run(_) => "run".to_owned(),
        Begin::Wait => "wait".to_owned(),
        Begin::Replay(answer) => format!("replay {}", answer.status),
        Begin::Refuse(refusal) => refusal.to_string(),
    }
}

/// Checks what a second call with a key gets after the first one went through `first`.
fn check_repeat(first: fn(&mut Fixture, &IdempotencyKey), expected: &str) {
    let mut fixture = Fixture::new(KeySettings::default());
    let key = fixture.key();
    first(&mut fixture, &key);
    assert_eq!(describe(fixture.begin(&key)), expected);
}

fn refuse_first(fixture: &mut Fixture, key: &IdempotencyKey) {
    let now = fixture.clock.now();
    let begin = fixture.ledger.begin(key, &BODY, Err(Reason::OutOfService), now);
    assert_eq!(describe(begin), "out_of_service (not_run)");
}

fn abandon(fixture: &mut Fixture, key: &IdempotencyKey) {
    let Begin::Run(claim) = fixture.begin(key) else { panic!("the key is new") };
    let refusal = fixture.ledger.abandon(claim, Reason::DeadlineExceeded);
    assert_eq!(refusal.outcome, Outcome::NotRun);
}

fn use_other_body(fixture: &mut Fixture, key: &IdempotencyKey) {
    let begin = fixture.ledger.begin(key, &OTHER_BODY, Ok(()), fixture.clock.now());
    assert!(matches!(begin, Begin::Run(_)));
}

/// Answers a key, forgets it, and leaves the clock of the next caller before that.
fn forget_then_turn_back(fixture: &mut Fixture, key: &IdempotencyKey) {
    let claim = fixture.run(key);
    fixture.ledger.answer(claim, answer(1));
    let later = fixture.clock.now() + Duration::from_secs(601);
    let other = fixture.key();
    let _ = fixture.ledger.begin(&other, &BODY, Ok(()), later);
}

fn run_past_expiry(fixture: &mut Fixture, key: &IdempotencyKey) {
    let _running = fixture.run(key);
    fixture.clock.advance(Duration::from_secs(601));
}

cases! {
    check_repeat {
        /// Guards against a second claim while the first one is not sent yet.
        a_recorded_key_waits: (|f, key| assert!(matches!(f.begin(key), Begin::Run(_))), "wait"),
        /// Guards against a second claim while the call runs.
        a_dispatched_key_waits: (|f, key| { let _ = f.run(key); }, "wait"),
        /// Guards against a second run after the answer.
        an_answered_key_replays: (
            |f, key| { let claim = f.run(key); f.ledger.answer(claim, answer(1)) },
            "replay 200",
        ),
        /// Guards against "not run" for a call whose answer was lost after the effect.
        a_lost_key_is_unknown: (
            |f, key| { let claim = f.run(key); f.ledger.lose(claim); },
            "target_failed (unknown)",
        ),
        /// Guards against a run after the caller was told "not run".
        a_refused_key_never_runs: (refuse_first, "out_of_service (not_run)"),
        /// Guards against a run after the claim was given up.
        an_abandoned_key_never_runs: (abandon, "deadline_exceeded (not_run)"),
        /// Guards against a run after the connection to the application failed.
        an_unsent_key_never_runs: (
            |f, key| { let claim = f.run(key); f.ledger.unsent(claim, Reason::TargetFailed); },
            "target_failed (not_run)",
        ),
        /// Guards against the answer to one request being given to another.
        a_reused_key_is_refused: (use_other_body, "key_reused (unknown)"),
        /// Guards against a second run of a key that was forgotten at a later time than the one
        /// that a delayed caller read.
        a_forgotten_key_stays_expired: (forget_then_turn_back, "key_expired (unknown)"),
        /// Guards against a running call that is forgotten, so that its caller gets no answer.
        a_running_key_is_not_forgotten: (run_past_expiry, "wait"),
    }
}

/// Checks what a key gets at a ledger that never saw it.
fn check_first(change: fn(&mut Fixture, &mut IdempotencyKey), expected: &str) {
    let settings = KeySettings { capacity: 1, ..KeySettings::default() };
    let mut fixture = Fixture::new(settings);
    let mut key = fixture.key();
    change(&mut fixture, &mut key);
    assert_eq!(describe(fixture.begin(&key)), expected);
}

fn advance(fixture: &mut Fixture, seconds: u64) {
    fixture.clock.advance(Duration::from_secs(seconds));
}

cases! {
    check_first {
        /// Guards against refusing what should run.
        a_new_key_runs: (|_, _| {}, "run"),
        /// Guards against a key run by a target that does not own it.
        another_target_refuses: (|_, key| key.target = "w2".to_owned(), "wrong_target (unknown)"),
        /// Guards against a key of a dead agent that runs again, and against "not run" for it.
        another_life_refuses: (|_, key| key.incarnation = 8, "key_owner_gone (unknown)"),
        /// Guards against a run of a key whose record may be forgotten.
        an_old_key_is_refused: (|f, _| advance(f, 601), "key_expired (unknown)"),
        /// Guards against a bound that refuses keys too early.
        a_key_lives_up_to_retention: (|f, _| advance(f, 599), "run"),
        /// Guards against forged times that would hold a place for ever.
        a_key_from_the_future_is_refused: (
            |f, key| {
                let wall = f.clock.wall() + Duration::from_secs(3);
                *key = IdempotencyKey::issue("w1".to_owned(), LIFE, wall);
            },
            "key_from_future (unknown)",
        ),
        /// Guards against a wall clock that steps and revives or expires keys.
        a_step_of_the_wall_clock_has_no_effect: (
            |f, _| f.clock.step_wall(f.clock.wall() + Duration::from_secs(9_000)),
            "run",
        ),
        /// Guards against "not run" without a record.
        a_full_ledger_says_unknown: (
            |f, _| { f.answer(1); },
            "ledger_full (unknown)",
        ),
        /// Guards against a full ledger that stays full.
        expired_keys_make_room: (
            |f, key| { f.answer(1); advance(f, 601); *key = f.key() },
            "run",
        ),
    }
}

/// Checks which of three answers of 100 bytes a ledger of `limit` bytes keeps.
fn check_kept(limit: usize, expected: [bool; 3]) {
    let settings = KeySettings { max_answers: limit, ..KeySettings::default() };
    let mut fixture = Fixture::new(settings);
    let keys = [(); 3].map(|()| {
        fixture.clock.advance(Duration::from_millis(5));
        fixture.answer(100)
    });
    let gone = Some(Err(Refusal::unknown(Reason::AnswerNotKept)));
    for (key, kept) in keys.iter().zip(expected) {
        let result = fixture.ledger.result(key.id);
        assert_eq!(result, if kept { Some(Ok(answer(100))) } else { gone.clone() });
    }
    assert_eq!(fixture.ledger.kept_bytes(), 100 * expected.iter().filter(|kept| **kept).count());
}

cases! {
    check_kept {
        /// Guards against answers dropped without need.
        all_answers_fit: (300, [true, true, true]),
        /// Guards against memory that grows with each answer, and against an empty body that
        /// passes for the answer.
        the_oldest_answer_goes_first: (299, [false, true, true]),
        /// Guards against a caller that never gets the answer to its own call.
        the_newest_answer_stays: (50, [false, false, true]),
    }
}

/// Claims and promises of a ledger under random events.
#[derive(Default)]
struct Run {
    recorded: Vec<(Uuid, Claim<Recorded>)>,
    dispatched: Vec<(Uuid, Claim<Dispatched>)>,
    effects: BTreeSet<Uuid>,
    promised: BTreeSet<Uuid>,
}

impl Run {
    /// Applies one event; returns whether the guarantees hold after it.
    fn step(&mut self, l: &mut KeyLedger, event: u8, key: &IdempotencyKey, now: Instant) -> bool {
        let (recorded, dispatched) = match event % 6 {
            0 | 1 => (None, None),
            2 | 3 => (self.recorded.pop(), None),
            _ => (None, self.dispatched.pop()),
        };
        match (event % 6, recorded, dispatched) {
            (0 | 1, ..) => return self.begin(l, event, key, now),
            (2, Some((id, claim)), _) => self.dispatched.push((id, l.dispatch(claim))),
            (3, Some((id, claim)), _) => {
                return self.refuse(id, l.abandon(claim, Reason::DeadlineExceeded));
            }
            (4, _, Some((id, claim))) => return self.finish(l, event, id, claim),
            (_, _, Some((id, claim))) => {
                return self.refuse(id, l.unsent(claim, Reason::TargetFailed));
            }
            _ => {}
        }
        true
    }

    fn begin(&mut self, l: &mut KeyLedger, event: u8, key: &IdempotencyKey, now: Instant) -> bool {
        let open = if event.is_multiple_of(5) { Err(Reason::OutOfService) } else { Ok(()) };
        match l.begin(key, &BODY, open, now) {
            Begin::Run(claim) => self.recorded.push((key.id, claim)),
            Begin::Refuse(refusal) => return self.refuse(key.id, refusal),
            Begin::Wait | Begin::Replay(_) => {}
        }
        true
    }

    /// Lets the call take effect, then records or loses its answer.
    fn finish(&mut self, l: &mut KeyLedger, event: u8, id: Uuid, claim: Claim<Dispatched>) -> bool {
        if event.is_multiple_of(8) {
            l.lose(claim);
        } else {
            l.answer(claim, answer(10));
        }
        self.effects.insert(id) && !self.promised.contains(&id)
    }

    fn refuse(&mut self, id: Uuid, refusal: Refusal) -> bool {
        if refusal.outcome != Outcome::NotRun {
            return true;
        }
        self.promised.insert(id);
        !self.effects.contains(&id)
    }
}

/// Whether random events, with times read up to 255 s too early, keep the guarantees.
fn keeps_guarantees(events: Vec<(u8, u8, u8)>) -> bool {
    let settings = KeySettings { capacity: 6, max_answers: 25, ..KeySettings::default() };
    let mut fixture = Fixture::new(settings);
    fixture.clock.advance(Duration::from_secs(300));
    let mut keys: Vec<IdempotencyKey> = Vec::new();
    let mut run = Run::default();
    events.into_iter().all(|(event, pick, time)| {
        if keys.len() < 8 {
            keys.push(fixture.key());
        }
        let key = &keys[usize::from(pick) % keys.len()];
        let late = if pick > 128 { Duration::ZERO } else { Duration::from_secs(time.into()) };
        let now = fixture.clock.now() - late;
        fixture.clock.advance(Duration::from_secs(time.into()));
        run.step(&mut fixture.ledger, event, key, now)
    })
}

fn check_random_events(seed: u64) {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(80, seed)).tests(2_000);
    let result = check.quicktest(keeps_guarantees as fn(Vec<(u8, u8, u8)>) -> bool);
    assert!(result.is_ok(), "seed {seed}: {result:?}");
}

cases! {
    check_random_events {
        /// Guards against orders of events that nobody thought of.
        random_events_of_seed_1: (1),
        /// As above.
        random_events_of_seed_2: (2),
        /// As above.
        random_events_of_seed_3: (3),
    }
}
