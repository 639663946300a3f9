//! Admission at an agent.

use fulmarhead_lib::{
    admission::{
        Admission, AdmissionSettings, CapSettings, Phase, Queue, QueueSettings, Room, Work,
    },
    clock::Clock,
    cost::Cost,
    ids::{RequestId, Tokens},
    outcome::Reason,
};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;
use testutils::{ManualClock, cases};

const ROOM: Room = Room { unleased: 450_000, total: 450_000, rate: 400_000 };

fn cost(prompt: Tokens) -> Cost {
    Cost { prompt, output: 32 }
}

fn work(number: u128, prompt: Tokens) -> Work {
    let request = RequestId::from_u128(number);
    let remaining = Duration::from_secs(30);
    Work { request, cost: cost(prompt), remaining, aged: false, leased: false }
}

fn warm(clock: &ManualClock) -> Admission {
    let cap = CapSettings { cold: 64, warm: 64, ..CapSettings::default() };
    let settings = AdmissionSettings { cap, ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings, clock.now());
    admission.set_phase(Phase::Serving);
    admission
}

/// Admits the prompts of `waiting` and checks what becomes of `work`.
fn check_admit(waiting: &[Tokens], work: Work, room: Room, expected: Result<(), Reason>) {
    let clock = ManualClock::default();
    let mut admission = warm(&clock);
    for (number, &prompt) in waiting.iter().enumerate() {
        admission.admit(self::work(1 + number as u128, prompt), 1, ROOM, clock.now()).unwrap();
    }
    let result = admission.admit(work, 1, room, clock.now());
    assert_eq!(result.map_err(|refusal| refusal.reason), expected);
}

cases! {
    check_admit {
        /// Guards against a second long prefill that delays the first one and the medium ones.
        second_long_prompt_is_refused: (&[200_000], work(9, 150_000), ROOM, Err(Reason::Overloaded)),
        /// Guards against long prompts that keep short ones out of an engine that serves them first.
        short_prompt_passes_a_long_one: (&[300_000], work(9, 4_000), ROOM, Ok(())),
        /// Guards against medium prompts over their share of the queue.
        medium_prompts_have_their_share: (&[60_000], work(9, 60_000), ROOM, Err(Reason::Overloaded)),
        /// Guards against long prompts that take the memory which is kept for short ones.
        long_prompt_leaves_short_memory: (&[], work(9, 425_000), ROOM, Err(Reason::NoMemory)),
        /// Guards against the same rule for short prompts.
        short_prompt_uses_kept_memory: (&[410_000], work(9, 8_000), ROOM, Ok(())),
        /// Guards against work that can't be done in time and would be thrown away.
        late_prompt_is_refused: (
            &[],
            Work { remaining: Duration::from_millis(100), ..work(9, 50_000) },
            ROOM,
            Err(Reason::Overloaded),
        ),
        /// Guards against work whose time limit has passed.
        expired_prompt_is_refused: (
            &[],
            Work { remaining: Duration::ZERO, ..work(9, 1_000) },
            ROOM,
            Err(Reason::DeadlineExceeded),
        ),
        /// Guards against a division by the rate of an engine that reports none.
        unknown_rate_admits: (&[], work(9, 50_000), Room { rate: 0, ..ROOM }, Ok(())),
    }
}

/// Guards against an aged long prompt that medium ones keep passing.
#[test]
fn aged_prompt_gets_the_next_turn() {
    let clock = ManualClock::default();
    let mut admission = warm(&clock);
    admission.admit(work(1, 90_000), 1, ROOM, clock.now()).unwrap();
    let aged = Work { aged: true, ..work(2, 400_000) };
    let reason = |admission: &mut Admission, work| {
        admission.admit(work, 1, ROOM, clock.now()).map_err(|refusal| refusal.reason)
    };
    assert_eq!(reason(&mut admission, aged), Err(Reason::NoMemory));
    assert_eq!(reason(&mut admission, work(3, 9_000)), Err(Reason::Overloaded));
    assert_eq!(reason(&mut admission, work(4, 4_000)), Ok(()));
    for number in [1, 4] {
        admission.end(RequestId::from_u128(number), 1, true, clock.now());
    }
    assert_eq!(reason(&mut admission, aged), Ok(()));
    assert_eq!(reason(&mut admission, work(5, 9_000)), Ok(()));
}

/// Guards against a turn that is kept for a request that never comes back.
#[test]
fn turn_lapses() {
    let clock = ManualClock::default();
    let mut admission = warm(&clock);
    let aged = Work { aged: true, ..work(1, 440_000) };
    admission.admit(aged, 1, ROOM, clock.now()).unwrap_err();
    admission.admit(work(2, 9_000), 1, ROOM, clock.now()).unwrap_err();
    clock.advance(Duration::from_millis(1_001));
    admission.admit(work(2, 9_000), 1, ROOM, clock.now()).unwrap();
}

/// Guards against a cap that passes its bounds or a queue and memory that forget ended work.
#[test]
fn counts_return_to_zero() {
    fn property(prompts: Vec<u32>) -> bool {
        let clock = ManualClock::default();
        let mut admission = warm(&clock);
        let mut admitted = Vec::new();
        for (number, prompt) in prompts.into_iter().enumerate() {
            let work = work(number as u128, Tokens::from(prompt % 500_000));
            if admission.admit(work, 1, ROOM, clock.now()).is_ok() {
                admitted.push(work);
            }
            let bounded = admission.memory() <= ROOM.unleased && admission.running() <= 64;
            if !bounded {
                return false;
            }
        }
        for work in admitted {
            admission.end(work.request, 1, true, clock.now());
        }
        admission.queue() == Queue::default() && admission.memory() == 0
    }
    let generator = Gen::from_size_and_seed(100, 7);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<u32>) -> bool);
}

fn check_takes(prompt: Tokens, queue: Queue, long_share: f64, expected: bool) {
    let settings = QueueSettings { long_share, ..QueueSettings::default() };
    assert_eq!(settings.takes(cost(prompt), queue, 400_000), expected);
}

cases! {
    check_takes {
        /// Guards against a share of 0 that would refuse long prompts for ever.
        one_prompt_is_always_taken: (900_000, Queue::default(), 0.0, true),
        /// Guards against a `long_share` without effect.
        low_share_refuses: (50_000, Queue { medium: 50_000, ..Queue::default() }, 0.2, false),
        /// Guards against the same.
        high_share_takes: (50_000, Queue { medium: 50_000, ..Queue::default() }, 0.5, true),
        /// Guards against an unbounded queue of short prompts.
        short_queue_is_bounded: (4_000, Queue { short: 198_000, ..Queue::default() }, 0.5, false),
    }
}

/// Guards against a cold target that is given the load of a warm one at once.
#[test]
fn cap_grows_in_steps() {
    let clock = ManualClock::default();
    let mut admission = Admission::new(AdmissionSettings::default(), clock.now());
    let mut limits = vec![admission.limit()];
    for number in 0..8 {
        clock.advance(Duration::from_millis(250));
        admission.end(RequestId::from_u128(number), 1, true, clock.now());
        limits.push(admission.limit());
    }
    assert_eq!(limits, [2, 2, 2, 2, 3, 3, 3, 3, 5]);
    admission.turned_cold(clock.now());
    assert_eq!(admission.limit(), 2);
}
