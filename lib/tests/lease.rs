//! Behaviour of leases on engine memory and of plans over several engines.

use fulmarhead_lib::{
    clock::Clock,
    ids::{LeaseId, RequestId, Tokens},
    lease::{
        Allocation, Grant, LeaseLedger, LeaseSettings, PlanError, Reservation, Room, Share, Step,
        plan,
    },
    outcome::{Reason, Refusal},
};
use quickcheck::{Gen, QuickCheck};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};
use testutils::{ManualClock, cases};
use uuid::Uuid;

fn rooms(sizes: &[(Tokens, Tokens)]) -> Vec<Room> {
    let names = ["a", "b", "c", "d"];
    let room = |(&(total, free), name): (&(Tokens, Tokens), _)| Room { target: name, total, free };
    sizes.iter().zip(names.map(str::to_owned)).map(room).collect()
}

fn check_plan(
    sizes: &[(Tokens, Tokens)],
    needed: Tokens,
    expected: Result<&[(&str, Tokens)], PlanError>,
) {
    let result = plan(&rooms(sizes), needed, 10);
    let share = |&(target, tokens): &(&str, _)| Share { target: target.to_owned(), tokens };
    assert_eq!(result, expected.map(|shares| shares.iter().map(share).collect()));
}

cases! {
    check_plan {
        /// Guards against one full engine beside one that is almost empty.
        two_engines_share_equally: (&[(100, 100), (100, 100)], 120, Ok(&[("a", 60), ("b", 60)])),
        /// Guards against a third engine where two are enough.
        the_fewest_engines_are_used: (
            &[(100, 100), (100, 100), (100, 100)], 200, Ok(&[("a", 100), ("b", 100)]),
        ),
        /// Guards against two engines for a prompt of over twice the memory of one.
        over_twice_takes_three: (
            &[(100, 100), (100, 100), (100, 100)], 201, Ok(&[("a", 67), ("b", 67), ("c", 67)]),
        ),
        /// Guards against the busier engine losing its last free memory.
        engines_keep_equal_free_memory: (&[(100, 90), (100, 60)], 100, Ok(&[("a", 65), ("b", 35)])),
        /// Guards against a share that is too small for the end of the answer.
        no_share_is_tiny: (&[(100, 100), (100, 10)], 101, Ok(&[("a", 91), ("b", 10)])),
        /// Guards against an engine with too little memory for any share.
        nearly_full_engines_are_left_out: (
            &[(100, 9), (100, 80), (100, 80)], 120, Ok(&[("b", 60), ("c", 60)]),
        ),
        /// Guards against a prompt that asks no engine while all are busy, and so waits for ever.
        busy_engines_are_asked: (&[(100, 20), (100, 0)], 150, Ok(&[("a", 75), ("b", 75)])),
        /// Guards against a prompt that waits for memory that no engine has.
        too_large_is_refused: (
            &[(100, 100), (100, 100)], 201, Err(PlanError::TooLarge { needed: 201, total: 200 }),
        ),
        /// Guards against a panic on an empty fleet.
        no_engine_is_too_small: (&[], 1, Err(PlanError::TooLarge { needed: 1, total: 0 })),
    }
}

/// Whether a plan of random engines holds the prompt, on the fewest engines, none overfull.
fn plan_is_sound(sizes: Vec<(u8, u8)>, needed: u16, smallest: u8) -> bool {
    let sizes: Vec<_> = sizes.into_iter().take(4).map(|(a, b)| (a.into(), b.into())).collect();
    let rooms = rooms(&sizes);
    let (needed, smallest) = (Tokens::from(needed % 900), Tokens::from(smallest % 40).max(1));
    let Ok(shares) = plan(&rooms, needed, smallest) else {
        let usable = rooms.iter().filter(|room| room.total >= smallest);
        return usable.map(|room| room.total).sum::<Tokens>() < needed || rooms.is_empty();
    };
    let size_of = |share: &Share, size: fn(&Room) -> Tokens| {
        rooms.iter().find(|room| room.target == share.target).map_or(0, size)
    };
    let free: fn(&Room) -> Tokens = |room| room.free.min(room.total);
    let fits = |size: fn(&Room) -> Tokens| shares.iter().all(|s| s.tokens <= size_of(s, size));
    let size = if fits(free) { free } else { |room: &Room| room.total };
    let mut largest: Vec<Tokens> = rooms.iter().map(size).collect();
    largest.sort_by(|a, b| b.cmp(a));
    let fewer: Tokens = largest.iter().take(shares.len().saturating_sub(1)).sum();
    shares.iter().map(|share| share.tokens).sum::<Tokens>() >= needed
        && fits(size)
        && shares.iter().all(|share| share.tokens >= smallest)
        && shares.is_sorted_by(|a, b| a.target < b.target)
        && (shares.len() <= 1 || fewer < needed)
}

fn check_random_plans(seed: u64) {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(300, seed)).tests(5_000);
    let result = check.quicktest(plan_is_sound as fn(Vec<(u8, u8)>, u16, u8) -> bool);
    assert!(result.is_ok(), "seed {seed}: {result:?}");
}

cases! {
    check_random_plans {
        /// Guards against splits of odd sizes that lose tokens or overfill an engine.
        random_plans_of_seed_1: (1),
        /// As above.
        random_plans_of_seed_2: (2),
    }
}

/// A ledger of 100 tokens with a clock, where request and lease `n` have the number `n`.
struct Fixture {
    clock: ManualClock,
    ledger: LeaseLedger,
}

impl Fixture {
    fn new() -> Self {
        let ledger = LeaseLedger::new(LeaseSettings::default(), 100);
        Self { clock: ManualClock::default(), ledger }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn advance(&self, seconds: u64) {
        self.clock.advance(Duration::from_secs(seconds));
    }

    fn reserve(&mut self, request: u128, lease: u128, tokens: Tokens) -> Result<Grant, Refusal> {
        self.reserve_beside(request, lease, tokens, 0)
    }

    fn reserve_beside(
        &mut self,
        request: u128,
        lease: u128,
        tokens: Tokens,
        in_use: Tokens,
    ) -> Result<Grant, Refusal> {
        let (request, lease) = (RequestId::from_u128(request), id(lease));
        self.ledger.reserve(request, lease, tokens, in_use, self.clock.now())
    }

    fn rebuild(&mut self, lease: u128, tokens: Tokens) {
        let allocation = Allocation { lease: id(lease), tokens };
        self.ledger.rebuild(&[allocation], self.clock.now());
    }
}

fn id(number: u128) -> LeaseId {
    Uuid::from_u128(number)
}

/// Checks what lease 1 of 60 tokens for request 1 gets after `before`.
fn check_reserve(before: fn(&mut Fixture), expected: Result<(), Reason>) {
    let mut fixture = Fixture::new();
    before(&mut fixture);
    let result = fixture.reserve(1, 1, 60).map(|_| ()).map_err(|refusal| refusal.reason);
    assert_eq!(result, expected);
}

cases! {
    check_reserve {
        /// Guards against refusing what fits.
        free_memory_is_granted: (|f| { f.reserve(2, 2, 40).unwrap(); }, Ok(())),
        /// Guards against memory that is promised twice.
        leased_memory_is_refused: (
            |f| { f.reserve(2, 2, 41).unwrap(); }, Err(Reason::NoMemory),
        ),
        /// Guards against a repeated message that takes memory twice.
        a_repeated_request_gets_its_lease: (|f| { f.reserve(1, 1, 60).unwrap(); }, Ok(())),
        /// Guards against one lease with two holders.
        another_holder_is_refused: (
            |f| { f.reserve(2, 1, 60).unwrap(); }, Err(Reason::LeaseExpired),
        ),
        /// Guards against a delayed message that takes memory for a holder that gave it up.
        a_released_lease_stays_ended: (
            |f| { f.reserve(1, 1, 60).unwrap(); f.ledger.release(id(1), f.now()); },
            Err(Reason::LeaseExpired),
        ),
        /// Guards against a release that overtakes the request for its lease.
        an_early_release_counts: (
            |f| { f.ledger.release(id(1), f.now()); }, Err(Reason::LeaseExpired),
        ),
        /// Guards against ended leases that are remembered for ever.
        ended_leases_are_forgotten: (
            |f| { f.ledger.release(id(1), f.now()); f.advance(10); f.ledger.expire(f.now()); },
            Ok(()),
        ),
        /// Guards against memory that is lost when the holder dies.
        expired_leases_make_room: (
            |f| { f.reserve(2, 2, 90).unwrap(); f.advance(10); f.ledger.expire(f.now()); },
            Ok(()),
        ),
        /// Guards against memory that is lost when the agent dies.
        rebuilt_leases_expire: (
            |f| { f.rebuild(2, 90); f.advance(10); f.ledger.expire(f.now()); }, Ok(()),
        ),
        /// Guards against memory that is promised twice after a restart of the agent.
        rebuilt_leases_hold_memory: (|f| f.rebuild(2, 41), Err(Reason::NoMemory)),
        /// Guards against a holder that loses its lease by a restart of the agent.
        a_rebuilt_lease_keeps_its_holder: (|f| f.rebuild(1, 60), Ok(())),
        /// Guards against a released lease that lives on because its memory was not freed yet.
        rebuild_skips_ended_leases: (
            |f| { f.ledger.release(id(2), f.now()); f.rebuild(2, 90) }, Ok(()),
        ),
        /// Guards against a later request that takes what an earlier one waits for.
        a_later_request_does_not_overtake: (
            |f| {
                f.reserve_beside(0, 7, 50, 60).unwrap_err();
            },
            Err(Reason::NoMemory),
        ),
        /// Guards against a later request that holds up an earlier one.
        an_earlier_request_goes_first: (|f| { f.reserve_beside(2, 7, 50, 60).unwrap_err(); }, Ok(())),
        /// Guards against memory that is kept for a request that gave up or whose entry died.
        waiting_ends: (
            |f| { f.reserve_beside(0, 7, 50, 60).unwrap_err(); f.advance(2) }, Ok(()),
        ),
        /// Guards against memory that is kept for a request that can never be granted.
        an_impossible_request_keeps_nothing: (|f| { f.reserve(0, 7, 101).unwrap_err(); }, Ok(())),
    }
}

/// Checks what work without a lease may use after `before`.
fn check_open(before: fn(&mut Fixture), expected: Tokens) {
    let mut fixture = Fixture::new();
    before(&mut fixture);
    assert_eq!(fixture.ledger.open(fixture.now()), expected);
}

cases! {
    check_open {
        /// Guards against short requests that take what a large one waits for.
        memory_is_kept_for_the_first_waiting: (|f| { f.reserve_beside(1, 1, 70, 50).unwrap_err(); }, 30),
        /// Guards against all memory being kept where many large requests wait.
        memory_is_kept_for_one_request: (
            |f| {
                f.reserve_beside(2, 2, 60, 50).unwrap_err();
                f.reserve_beside(1, 1, 70, 50).unwrap_err();
            },
            30,
        ),
        /// Guards against memory that lies idle while a lease stands in the way.
        nothing_is_kept_behind_a_lease: (
            |f| { f.reserve(0, 7, 40).unwrap(); f.reserve(1, 1, 70).unwrap_err(); }, 60,
        ),
        /// Guards against memory that is kept beside the lease it was kept for.
        a_granted_request_keeps_no_more: (|f| { f.reserve(1, 1, 40).unwrap(); }, 60),
    }
}

/// Lets short requests take all memory that they may, and a large one ask each second.
///
/// Guards against a reservation that starves behind a steady flow of short requests.
#[test]
fn a_large_request_does_not_starve() {
    let mut fixture = Fixture::new();
    let mut short = vec![10; 10];
    let asks = (0..20).position(|lease| {
        fixture.advance(1);
        short.remove(0);
        let used: Tokens = short.iter().sum();
        let granted = fixture.reserve_beside(1, lease, 80, used).is_ok();
        let open = fixture.ledger.open(fixture.now());
        let used: Tokens = short.iter().sum();
        if used + 10 <= open {
            short.push(10);
        }
        granted
    });
    // One of ten short requests ends each second; 80 tokens are free after eight of them.
    assert_eq!(asks, Some(7));
}

/// Guards against a grant for another lease that completes a reservation.
#[test]
fn a_late_grant_is_ignored() {
    let share = Share { target: "a".to_owned(), tokens: 5 };
    let reservation = Reservation::with_leases(id(1), vec![(share, id(2))]);
    let late = Grant { lease: id(3), tokens: 5, period: Duration::from_secs(10) };
    let Step::Ask { lease, .. } = reservation.granted(late).step() else { panic!("not granted") };
    assert_eq!(lease, id(2));
}

/// Whether random events keep the ledger within its memory and end all leases in time.
fn ledger_is_sound(events: Vec<(u8, u8, u8)>) -> bool {
    let mut fixture = Fixture::new();
    let mut released = BTreeSet::new();
    let bounded = events.into_iter().all(|(event, pick, size)| {
        let (request, lease) = (u128::from(pick % 4), u128::from(pick % 16));
        let now = fixture.now();
        let granted = match event % 5 {
            0 => fixture.reserve(request, lease, (size % 120).into()).is_ok(),
            1 => fixture.ledger.renew(id(lease), now).is_ok(),
            2 => {
                fixture.ledger.release(id(lease), now);
                released.insert(lease);
                false
            }
            3 => {
                fixture.ledger.expire(now).clear();
                false
            }
            _ => {
                fixture.clock.advance(Duration::from_millis(u64::from(size % 100)));
                false
            }
        };
        // All events take less than a lease period, so that an ended lease never comes back.
        fixture.ledger.used() <= 100 && !(granted && released.contains(&lease))
    });
    fixture.advance(10);
    fixture.ledger.expire(fixture.now());
    bounded && fixture.ledger.is_empty() && fixture.ledger.open(fixture.now()) == 100
}

fn check_random_events(seed: u64) {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(80, seed)).tests(2_000);
    let result = check.quicktest(ledger_is_sound as fn(Vec<(u8, u8, u8)>) -> bool);
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
