//! Tests of admission control at an agent.

use fulmarhead_lib::{
    admission::{
        AdmissionController, AdmissionSettings, CapSettings, Phase, PrefillQueue, QueueSettings,
        TargetCapacity, Work,
    },
    clock::Clock,
    cost::Cost,
    ids::{RequestId, Tokens},
    outcome::Reason,
};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;
use testutils::{ManualClock, cases};

const CAPACITY: TargetCapacity =
    TargetCapacity { unleased: 450_000, total: 450_000, rate: 400_000 };

fn cost(prompt: Tokens) -> Cost {
    Cost { prompt, output: 32 }
}

fn work(number: u128, prompt: Tokens) -> Work {
    let request = RequestId::from_u128(number);
    let remaining = Duration::from_secs(30);
    Work { request, cost: cost(prompt), remaining, aged: false, leased: false }
}

fn warm_controller(clock: &ManualClock) -> AdmissionController {
    let cap = CapSettings { cold: 64, warm: 64, ..CapSettings::default() };
    let settings = AdmissionSettings { cap, ..AdmissionSettings::default() };
    let mut admission = AdmissionController::new(settings, clock.now());
    admission.set_phase(Phase::Serving);
    admission
}

/// Admits the prompts of `waiting`, then checks the result of admitting `work`.
fn check_admit(
    waiting: &[Tokens],
    work: Work,
    capacity: TargetCapacity,
    expected: Result<(), Reason>,
) {
    let clock = ManualClock::default();
    let mut admission = warm_controller(&clock);
    for (number, &prompt) in waiting.iter().enumerate() {
        admission.admit(self::work(1 + number as u128, prompt), 1, CAPACITY, clock.now()).unwrap();
    }
    let result = admission.admit(work, 1, capacity, clock.now());
    assert_eq!(result.map_err(|refusal| refusal.reason), expected);
}

cases! {
    check_admit {
        /// Guards against admitting a second long prefill, which would delay the first one and
        /// medium prompts.
        second_long_prompt_is_refused: (&[200_000], work(9, 150_000), CAPACITY, Err(Reason::Overloaded)),
        /// Guards against refusing a short prompt because of a long one, although the engine would
        /// process the short one first.
        short_prompt_precedes_a_long_one: (&[300_000], work(9, 4_000), CAPACITY, Ok(())),
        /// Guards against medium prompts that exceed their share of the queue.
        medium_prompts_are_limited_to_their_share: (&[60_000], work(9, 60_000), CAPACITY, Err(Reason::Overloaded)),
        /// Guards against long prompts that use the memory reserved for short ones.
        long_prompt_leaves_short_prompt_reserve: (&[], work(9, 425_000), CAPACITY, Err(Reason::NoMemory)),
        /// Guards against denying short prompts the memory reserved for them.
        short_prompt_uses_reserve: (&[410_000], work(9, 8_000), CAPACITY, Ok(())),
        /// Guards against admitting work that cannot meet its deadline and would be wasted.
        prompt_that_would_miss_its_deadline_is_refused: (
            &[],
            Work { remaining: Duration::from_millis(100), ..work(9, 50_000) },
            CAPACITY,
            Err(Reason::Overloaded),
        ),
        /// Guards against admitting work whose deadline has passed.
        expired_prompt_is_refused: (
            &[],
            Work { remaining: Duration::ZERO, ..work(9, 1_000) },
            CAPACITY,
            Err(Reason::DeadlineExceeded),
        ),
        /// Guards against dividing by the rate of an engine that reports no rate.
        unknown_rate_admits: (&[], work(9, 50_000), TargetCapacity { rate: 0, ..CAPACITY }, Ok(())),
    }
}

/// Guards against an aged long prompt that starves because medium prompts are admitted before it.
#[test]
fn aged_prompt_gets_the_next_turn() {
    let clock = ManualClock::default();
    let mut admission = warm_controller(&clock);
    admission.admit(work(1, 90_000), 1, CAPACITY, clock.now()).unwrap();
    let aged = Work { aged: true, ..work(2, 400_000) };
    let admit = |admission: &mut AdmissionController, work| {
        admission.admit(work, 1, CAPACITY, clock.now()).map_err(|refusal| refusal.reason)
    };
    assert_eq!(admit(&mut admission, aged), Err(Reason::NoMemory));
    assert_eq!(admit(&mut admission, work(3, 9_000)), Err(Reason::Overloaded));
    assert_eq!(admit(&mut admission, work(4, 4_000)), Ok(()));
    for number in [1, 4] {
        admission.end_attempt(RequestId::from_u128(number), 1, true, clock.now());
    }
    assert_eq!(admit(&mut admission, aged), Ok(()));
    assert_eq!(admit(&mut admission, work(5, 9_000)), Ok(()));
}

/// Guards against holding the turn for a request that is never retried.
#[test]
fn turn_expires() {
    let clock = ManualClock::default();
    let mut admission = warm_controller(&clock);
    let aged = Work { aged: true, ..work(1, 440_000) };
    admission.admit(aged, 1, CAPACITY, clock.now()).unwrap_err();
    admission.admit(work(2, 9_000), 1, CAPACITY, clock.now()).unwrap_err();
    clock.advance(Duration::from_millis(1_001));
    admission.admit(work(2, 9_000), 1, CAPACITY, clock.now()).unwrap();
}

/// Guards against exceeding the concurrency or memory limit, and against queue and memory counts
/// that do not return to zero after all work has ended.
#[test]
fn limits_hold_and_counts_return_to_zero() {
    fn property(prompts: Vec<u32>) -> bool {
        let clock = ManualClock::default();
        let mut admission = warm_controller(&clock);
        let mut admitted = Vec::new();
        for (number, prompt) in prompts.into_iter().enumerate() {
            let work = work(number as u128, Tokens::from(prompt % 500_000));
            if admission.admit(work, 1, CAPACITY, clock.now()).is_ok() {
                admitted.push(work);
            }
            let within_limits =
                admission.unleased_usage() <= CAPACITY.unleased && admission.running() <= 64;
            if !within_limits {
                return false;
            }
        }
        for work in admitted {
            admission.end_attempt(work.request, 1, true, clock.now());
        }
        admission.queue() == PrefillQueue::default() && admission.unleased_usage() == 0
    }
    let generator = Gen::from_size_and_seed(100, 7);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<u32>) -> bool);
}

fn check_accepts(prompt: Tokens, queue: PrefillQueue, long_share: f64, expected: bool) {
    let settings = QueueSettings { long_share, ..QueueSettings::default() };
    assert_eq!(settings.accepts(cost(prompt), queue, 400_000), expected);
}

cases! {
    check_accepts {
        /// Guards against a share of 0 that refuses every long prompt.
        first_prompt_is_always_accepted: (900_000, PrefillQueue::default(), 0.0, true),
        /// Guards against ignoring a low `long_share`.
        low_share_refuses: (50_000, PrefillQueue { medium: 50_000, ..PrefillQueue::default() }, 0.2, false),
        /// Guards against ignoring a high `long_share`.
        high_share_accepts: (50_000, PrefillQueue { medium: 50_000, ..PrefillQueue::default() }, 0.5, true),
        /// Guards against an unbounded queue of short prompts.
        short_queue_is_bounded: (4_000, PrefillQueue { short: 198_000, ..PrefillQueue::default() }, 0.5, false),
    }
}

/// Guards against giving a cold target the load of a warm one immediately.
#[test]
fn cap_grows_in_steps() {
    let clock = ManualClock::default();
    let mut admission = AdmissionController::new(AdmissionSettings::default(), clock.now());
    let mut limits = vec![admission.limit()];
    for number in 0..8 {
        clock.advance(Duration::from_millis(250));
        admission.end_attempt(RequestId::from_u128(number), 1, true, clock.now());
        limits.push(admission.limit());
    }
    assert_eq!(limits, [2, 2, 2, 2, 3, 3, 3, 3, 5]);
    admission.reset_cap(clock.now());
    assert_eq!(admission.limit(), 2);
}
