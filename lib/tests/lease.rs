//! Tests of leases on engine memory and of plans over several engines.

use fulmarhead_lib::{
    clock::Clock,
    ids::{LeaseId, RequestId, Tokens},
    lease::{
        Allocation, EngineMemory, Grant, LeaseLedger, LeaseSettings, PlanError, Reservation, Share,
        Step, plan,
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

/// Creates engines from pairs of total and free memory.
fn engines(sizes: &[(Tokens, Tokens)]) -> Vec<EngineMemory> {
    let names = ["a", "b", "c", "d"];
    let engine =
        |(&(total, free), name): (&(Tokens, Tokens), _)| EngineMemory { target: name, total, free };
    sizes.iter().zip(names.map(str::to_owned)).map(engine).collect()
}

/// Checks the plan for engines with these pairs of total and free memory and a minimum share of 10.
fn check_plan(
    sizes: &[(Tokens, Tokens)],
    needed: Tokens,
    expected: Result<&[(&str, Tokens)], PlanError>,
) {
    let result = plan(&engines(sizes), needed, 10);
    let share = |&(target, tokens): &(&str, _)| Share { target: target.to_owned(), tokens };
    assert_eq!(result, expected.map(|shares| shares.iter().map(share).collect()));
}

cases! {
    check_plan {
        /// Guards against filling one engine while another stays almost empty.
        two_engines_share_equally: (&[(100, 100), (100, 100)], 120, Ok(&[("a", 60), ("b", 60)])),
        /// Guards against using a third engine when two are enough.
        the_fewest_engines_are_used: (
            &[(100, 100), (100, 100), (100, 100)], 200, Ok(&[("a", 100), ("b", 100)]),
        ),
        /// Guards against planning two engines for a prompt larger than the memory of both.
        a_prompt_over_two_engines_uses_three: (
            &[(100, 100), (100, 100), (100, 100)], 201, Ok(&[("a", 67), ("b", 67), ("c", 67)]),
        ),
        /// Guards against taking the last free memory of the busier engine.
        free_memory_is_left_equal: (&[(100, 90), (100, 60)], 100, Ok(&[("a", 65), ("b", 35)])),
        /// Guards against a share below the minimum. The last engine holds the end of the prompt
        /// and the answer, which do not fit into a smaller share.
        shares_have_a_minimum_size: (&[(100, 100), (100, 10)], 101, Ok(&[("a", 91), ("b", 10)])),
        /// Guards against using an engine with less free memory than the minimum share.
        nearly_full_engines_are_skipped: (
            &[(100, 9), (100, 80), (100, 80)], 120, Ok(&[("b", 60), ("c", 60)]),
        ),
        /// Guards against a prompt that requests no lease while all engines are busy and starves.
        busy_engines_are_included: (&[(100, 20), (100, 0)], 150, Ok(&[("a", 75), ("b", 75)])),
        /// Guards against a prompt that waits for more memory than the engines have.
        a_too_large_prompt_is_refused: (
            &[(100, 100), (100, 100)], 201, Err(PlanError::TooLarge { needed: 201, total: 200 }),
        ),
        /// Guards against a panic when there are no engines.
        a_plan_without_engines_is_refused: (&[], 1, Err(PlanError::TooLarge { needed: 1, total: 0 })),
    }
}

/// Returns whether the plan for random engines holds the prompt on as few engines as possible
/// without exceeding the memory of any.
fn plan_is_sound(sizes: Vec<(u8, u8)>, needed: u16, min_share: u8) -> bool {
    let sizes: Vec<_> = sizes.into_iter().take(4).map(|(a, b)| (a.into(), b.into())).collect();
    let engines = engines(&sizes);
    let (needed, min_share) = (Tokens::from(needed % 900), Tokens::from(min_share % 40).max(1));
    let Ok(shares) = plan(&engines, needed, min_share) else {
        let usable = engines.iter().filter(|engine| engine.total >= min_share);
        return usable.map(|engine| engine.total).sum::<Tokens>() < needed || engines.is_empty();
    };
    let size_of = |share: &Share, size: fn(&EngineMemory) -> Tokens| {
        engines.iter().find(|engine| engine.target == share.target).map_or(0, size)
    };
    let free: fn(&EngineMemory) -> Tokens = |engine| engine.free.min(engine.total);
    let fits =
        |size: fn(&EngineMemory) -> Tokens| shares.iter().all(|s| s.tokens <= size_of(s, size));
    let size = if fits(free) { free } else { |engine: &EngineMemory| engine.total };
    let mut largest: Vec<Tokens> = engines.iter().map(size).collect();
    largest.sort_by(|a, b| b.cmp(a));
    let fewer: Tokens = largest.iter().take(shares.len().saturating_sub(1)).sum();
    shares.iter().map(|share| share.tokens).sum::<Tokens>() >= needed
        && fits(size)
        && shares.iter().all(|share| share.tokens >= min_share)
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
        /// Guards against splits that lose tokens or exceed the memory of an engine.
        random_plans_of_seed_1: (1),
        random_plans_of_seed_2: (2),
    }
}

/// A ledger of 100 tokens and its clock; the identifiers of requests and leases are made from
/// numbers.
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
        self.reserve_with_usage(request, lease, tokens, 0)
    }

    fn reserve_with_usage(
        &mut self,
        request: u128,
        lease: u128,
        tokens: Tokens,
        unleased_usage: Tokens,
    ) -> Result<Grant, Refusal> {
        let (request, lease) = (RequestId::from_u128(request), id(lease));
        self.ledger.reserve(request, lease, tokens, unleased_usage, self.clock.now())
    }

    fn rebuild(&mut self, lease: u128, tokens: Tokens) {
        let allocation = Allocation { lease: id(lease), tokens };
        self.ledger.rebuild(&[allocation], self.clock.now());
    }
}

fn id(number: u128) -> LeaseId {
    Uuid::from_u128(number)
}

/// Checks the result of reserving lease 1 of 60 tokens for request 1 after `prepare` has run.
fn check_reserve(prepare: fn(&mut Fixture), expected: Result<(), Reason>) {
    let mut fixture = Fixture::new();
    prepare(&mut fixture);
    let result = fixture.reserve(1, 1, 60).map(|_| ()).map_err(|refusal| refusal.reason);
    assert_eq!(result, expected);
}

cases! {
    check_reserve {
        /// Guards against refusing a lease that fits.
        free_memory_is_granted: (|f| { f.reserve(2, 2, 40).unwrap(); }, Ok(())),
        /// Guards against granting the same memory twice.
        leased_memory_is_refused: (
            |f| { f.reserve(2, 2, 41).unwrap(); }, Err(Reason::NoMemory),
        ),
        /// Guards against a repeated message that reserves memory twice.
        a_repeated_request_gets_its_lease: (|f| { f.reserve(1, 1, 60).unwrap(); }, Ok(())),
        /// Guards against granting one lease to two holders.
        another_holder_is_refused: (
            |f| { f.reserve(2, 1, 60).unwrap(); }, Err(Reason::LeaseExpired),
        ),
        /// Guards against a delayed message that reserves memory again after its release.
        a_released_lease_stays_ended: (
            |f| { f.reserve(1, 1, 60).unwrap(); f.ledger.release(id(1), f.now()); },
            Err(Reason::LeaseExpired),
        ),
        /// Guards against granting a lease whose release arrives before the request for it.
        a_release_before_the_request_is_recorded: (
            |f| { f.ledger.release(id(1), f.now()); }, Err(Reason::LeaseExpired),
        ),
        /// Guards against records of ended leases that are never removed.
        ended_leases_are_removed: (
            |f| { f.ledger.release(id(1), f.now()); f.advance(10); f.ledger.expire(f.now()); },
            Ok(()),
        ),
        /// Guards against memory that is never freed after its holder has crashed.
        expired_leases_free_memory: (
            |f| { f.reserve(2, 2, 90).unwrap(); f.advance(10); f.ledger.expire(f.now()); },
            Ok(()),
        ),
        /// Guards against memory that is never freed after the agent has restarted.
        restored_leases_expire: (
            |f| { f.rebuild(2, 90); f.advance(10); f.ledger.expire(f.now()); }, Ok(()),
        ),
        /// Guards against granting the same memory twice after a restart of the agent.
        restored_leases_hold_memory: (|f| f.rebuild(2, 41), Err(Reason::NoMemory)),
        /// Guards against a holder that loses its lease because the agent restarted.
        a_restored_lease_is_granted_to_its_holder_again: (|f| f.rebuild(1, 60), Ok(())),
        /// Guards against restoring a released lease whose memory the engine has not freed yet.
        restoring_skips_ended_leases: (
            |f| { f.ledger.release(id(2), f.now()); f.rebuild(2, 90) }, Ok(()),
        ),
        /// Guards against a later request that takes the memory an earlier one waits for.
        a_later_request_does_not_overtake: (
            |f| {
                f.reserve_with_usage(0, 7, 50, 60).unwrap_err();
            },
            Err(Reason::NoMemory),
        ),
        /// Guards against a later request that blocks an earlier one.
        an_earlier_request_takes_precedence: (|f| { f.reserve_with_usage(2, 7, 50, 60).unwrap_err(); }, Ok(())),
        /// Guards against holding memory back for a request that was abandoned or whose entry
        /// crashed.
        waiting_requests_expire: (
            |f| { f.reserve_with_usage(0, 7, 50, 60).unwrap_err(); f.advance(2) }, Ok(()),
        ),
        /// Guards against holding memory back for a request that can never be granted.
        an_impossible_request_is_not_queued: (|f| { f.reserve(0, 7, 101).unwrap_err(); }, Ok(())),
    }
}

/// Checks the memory available to work without a lease after `prepare` has run.
fn check_available(prepare: fn(&mut Fixture), expected: Tokens) {
    let mut fixture = Fixture::new();
    prepare(&mut fixture);
    assert_eq!(fixture.ledger.available(fixture.now()), expected);
}

cases! {
    check_available {
        /// Guards against short requests that take the memory a large one waits for.
        memory_is_held_back_for_the_first_waiting: (|f| { f.reserve_with_usage(1, 1, 70, 50).unwrap_err(); }, 30),
        /// Guards against holding memory back for more than one waiting request.
        memory_is_held_back_for_one_request: (
            |f| {
                f.reserve_with_usage(2, 2, 60, 50).unwrap_err();
                f.reserve_with_usage(1, 1, 70, 50).unwrap_err();
            },
            30,
        ),
        /// Guards against idle memory while the first waiting request needs another lease to end.
        nothing_is_held_back_if_a_lease_must_end_first: (
            |f| { f.reserve(0, 7, 40).unwrap(); f.reserve(1, 1, 70).unwrap_err(); }, 60,
        ),
        /// Guards against holding memory back for a request that already has its lease.
        a_granted_request_holds_back_no_more: (|f| { f.reserve(1, 1, 40).unwrap(); }, 60),
    }
}

/// Guards against a reservation that starves behind a steady flow of short requests.
///
/// Short requests use all memory available to them while a large request retries each second.
#[test]
fn a_large_request_does_not_starve() {
    let mut fixture = Fixture::new();
    let mut short = vec![10; 10];
    let granted_attempt = (0..20).position(|lease| {
        fixture.advance(1);
        short.remove(0);
        let used: Tokens = short.iter().sum();
        let granted = fixture.reserve_with_usage(1, lease, 80, used).is_ok();
        let available = fixture.ledger.available(fixture.now());
        let used: Tokens = short.iter().sum();
        if used + 10 <= available {
            short.push(10);
        }
        granted
    });
    // One of ten short requests ends each second, so 80 tokens are free after eight seconds.
    assert_eq!(granted_attempt, Some(7));
}

/// Guards against completing a reservation with the grant of another lease.
#[test]
fn a_late_grant_is_ignored() {
    let share = Share { target: "a".to_owned(), tokens: 5 };
    let reservation = Reservation::with_leases(id(1), vec![(share, id(2))]);
    let late = Grant { lease: id(3), tokens: 5, period: Duration::from_secs(10) };
    let Step::Request { lease, .. } = reservation.record_grant(late).step() else {
        panic!("the late grant of lease 3 completed the reservation")
    };
    assert_eq!(lease, id(2));
}

/// Returns whether the ledger stays within its memory under random events, never grants a released
/// lease again and ends all leases in time.
fn ledger_is_sound(events: Vec<(u8, u8, u8)>) -> bool {
    let mut fixture = Fixture::new();
    let mut released = BTreeSet::new();
    let is_sound_after_each_event = events.into_iter().all(|(event, pick, size)| {
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
        // All events together take less than one lease period, so the ledger still knows each ended
        // lease and must not grant it again.
        fixture.ledger.used() <= 100 && !(granted && released.contains(&lease))
    });
    fixture.advance(10);
    fixture.ledger.expire(fixture.now());
    is_sound_after_each_event
        && fixture.ledger.is_empty()
        && fixture.ledger.available(fixture.now()) == 100
}

fn check_random_events(seed: u64) {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(80, seed)).tests(2_000);
    let result = check.quicktest(ledger_is_sound as fn(Vec<(u8, u8, u8)>) -> bool);
    assert!(result.is_ok(), "seed {seed}: {result:?}");
}

cases! {
    check_random_events {
        /// Guards against granting too much memory or a released lease in event orders that no
        /// other test covers.
        random_events_of_seed_1: (1),
        random_events_of_seed_2: (2),
        random_events_of_seed_3: (3),
    }
}
