//! Budgets of teams and retries, and the reserve for the loss of a zone.

use fulmarhead_lib::{
    clock::Clock,
    cost::Cost,
    ids::Tokens,
    limits::{RetryBudget, RetrySettings, TeamBudget, TeamLimiter, ZoneReserve, usable_rate},
    outcome::Reason,
};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;
use testutils::{ManualClock, cases};

const BUDGET: TeamBudget = TeamBudget { rate: 1_000, burst: 10_000 };

fn cost(prompt: Tokens) -> Cost {
    Cost { prompt, output: 0 }
}

fn check_team(costs: &[Tokens], wait: Duration, last: Tokens, expected: Option<Duration>) {
    let clock = ManualClock::default();
    let mut teams = TeamLimiter::default();
    for &tokens in costs {
        teams.take("club", BUDGET, cost(tokens), clock.now()).unwrap();
    }
    clock.advance(wait);
    let refusal = teams.take("club", BUDGET, cost(last), clock.now()).err();
    assert_eq!(refusal.map(|refusal| refusal.reason), expected.map(|_| Reason::TeamLimit));
    assert_eq!(refusal.and_then(|refusal| refusal.retry_after), expected);
}

cases! {
    check_team {
        /// Guards against a budget that refuses what the burst allows.
        burst_is_free: (&[], Duration::ZERO, 10_000, None),
        /// Guards against a prompt over the burst that could never be sent.
        full_bucket_takes_one_over_the_burst: (&[], Duration::ZERO, 30_000, None),
        /// Guards against such a prompt that is not paid for.
        debt_is_paid: (&[30_000], Duration::from_secs(20), 1_000, Some(Duration::from_secs(1))),
        /// Guards against a wrong time for the next try.
        empty_bucket_names_the_wait: (
            &[10_000], Duration::from_secs(1), 3_000, Some(Duration::from_secs(2)),
        ),
        /// Guards against a bucket that does not fill.
        bucket_fills: (&[10_000], Duration::from_secs(3), 3_000, None),
    }
}

/// Guards against teams that share a bucket, and against buckets of teams that are gone.
#[test]
fn teams_are_apart() {
    let clock = ManualClock::default();
    let mut teams = TeamLimiter::default();
    teams.take("club", BUDGET, cost(10_000), clock.now()).unwrap();
    teams.take("yard", BUDGET, cost(10_000), clock.now()).unwrap();
    teams.retain(|team| team != "club");
    teams.take("club", BUDGET, cost(10_000), clock.now()).unwrap();
    teams.take("yard", BUDGET, cost(10_000), clock.now()).unwrap_err();
    teams.refund("yard", BUDGET, 10_000);
    teams.take("yard", BUDGET, cost(10_000), clock.now()).unwrap();
}

/// Guards against more tokens over time than the budget, the burst and one request allow.
#[test]
fn rate_holds_over_time() {
    fn property(requests: Vec<(u16, u16)>) -> bool {
        let clock = ManualClock::default();
        let mut teams = TeamLimiter::default();
        let (mut taken, mut passed) = (0, Duration::ZERO);
        for (tokens, wait) in requests {
            let wait = Duration::from_millis(u64::from(wait));
            clock.advance(wait);
            passed += wait;
            let tokens = Tokens::from(tokens);
            if teams.take("club", BUDGET, cost(tokens), clock.now()).is_ok() {
                taken += tokens;
            }
            let earned = BUDGET.rate as f64 * passed.as_secs_f64();
            if taken as f64 > earned + (BUDGET.burst + Tokens::from(u16::MAX)) as f64 {
                return false;
            }
        }
        true
    }
    let generator = Gen::from_size_and_seed(200, 11);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<(u16, u16)>) -> bool);
}

/// Guards against a failing zone whose requests are sent again and again.
#[test]
fn retries_stay_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::new(RetrySettings { share: 0.1, burst: 5.0 });
    let burst = (0..100).filter(|_| budget.withdraw()).count();
    let retries = (0..1_000).filter(|_| {
        budget.deposit();
        budget.withdraw()
    });
    let retries = retries.count();
    assert_eq!((burst, (99..=100).contains(&retries)), (5, true), "{retries} retries");
}

fn check_usable(reserve: f64, zone_missing: bool, expected: Tokens) {
    assert_eq!(usable_rate(1_200_000, reserve, zone_missing), expected);
}

cases! {
    check_usable {
        /// Guards against a reserve that is in force by default.
        no_reserve: (0.0, false, 1_200_000),
        /// Guards against a `zone_reserve` without effect.
        reserve_is_kept: (0.25, false, 900_000),
        /// Guards against a reserve that is not used when a zone is gone.
        reserve_opens_with_a_zone_missing: (0.25, true, 1_200_000),
    }
}

/// Guards against a reserve that long work uses up, and against one that keeps short work out.
#[test]
fn reserve_is_for_short_prompts() {
    let clock = ManualClock::default();
    let mut reserve = ZoneReserve::default();
    let mut take = |tokens, clock: &ManualClock| reserve.take(cost(tokens), 100_000, clock.now());
    assert!(take(90_000, &clock));
    assert!(!take(20_000, &clock));
    assert!((0..50).all(|_| take(8_000, &clock)));
    clock.advance(Duration::from_secs(1));
    assert!(!take(20_000, &clock), "short prompts leave less for others");
    clock.advance(Duration::from_secs(2));
    assert!(take(20_000, &clock));
}
