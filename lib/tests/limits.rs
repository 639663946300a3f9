//! Tests of the budgets of teams and retries, and of the reserve for the loss of a zone.

use fulmarhead_lib::{
    clock::Clock,
    cost::Cost,
    ids::Tokens,
    limits::{PrefillLimiter, RetryBudget, RetrySettings, TeamBudget, TeamLimiter, usable_rate},
    outcome::Reason,
};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;
use testutils::{ManualClock, cases};

const BUDGET: TeamBudget = TeamBudget { rate: 1_000, burst: 10_000 };

fn cost(prompt: Tokens) -> Cost {
    Cost { prompt, output: 0 }
}

fn check_team_budget(
    costs: &[Tokens],
    wait: Duration,
    last_cost: Tokens,
    expected: Option<Duration>,
) {
    let clock = ManualClock::default();
    let mut teams = TeamLimiter::default();
    for &tokens in costs {
        teams.try_take("club", BUDGET, cost(tokens), clock.now()).unwrap();
    }
    clock.advance(wait);
    let refusal = teams.try_take("club", BUDGET, cost(last_cost), clock.now()).err();
    assert_eq!(refusal.map(|refusal| refusal.reason), expected.map(|_| Reason::TeamLimit));
    assert_eq!(refusal.and_then(|refusal| refusal.retry_after), expected);
}

cases! {
    check_team_budget {
        /// Guards against refusing a request that the burst allows.
        burst_is_allowed: (&[], Duration::ZERO, 10_000, None),
        /// Guards against a prompt larger than the burst that is never admitted.
        full_bucket_allows_cost_above_burst: (&[], Duration::ZERO, 30_000, None),
        /// Guards against a prompt larger than the burst whose full cost is not charged.
        debt_delays_later_requests: (
            &[30_000], Duration::from_secs(20), 1_000, Some(Duration::from_secs(1)),
        ),
        /// Guards against a wrong retry time in the refusal.
        empty_bucket_returns_retry_time: (
            &[10_000], Duration::from_secs(1), 3_000, Some(Duration::from_secs(2)),
        ),
        /// Guards against a bucket that does not refill.
        bucket_refills: (&[10_000], Duration::from_secs(3), 3_000, None),
    }
}

/// Guards against teams that share a bucket, and against keeping the buckets of removed teams.
#[test]
fn teams_have_separate_buckets() {
    let clock = ManualClock::default();
    let mut teams = TeamLimiter::default();
    teams.try_take("club", BUDGET, cost(10_000), clock.now()).unwrap();
    teams.try_take("yard", BUDGET, cost(10_000), clock.now()).unwrap();
    teams.retain(|team| team != "club");
    teams.try_take("club", BUDGET, cost(10_000), clock.now()).unwrap();
    teams.try_take("yard", BUDGET, cost(10_000), clock.now()).unwrap_err();
    teams.refund("yard", BUDGET, 10_000);
    teams.try_take("yard", BUDGET, cost(10_000), clock.now()).unwrap();
}

/// Guards against admitting more tokens over time than the rate, the burst and one request allow.
#[test]
fn long_term_rate_is_bounded() {
    fn property(requests: Vec<(u16, u16)>) -> bool {
        let clock = ManualClock::default();
        let mut teams = TeamLimiter::default();
        let (mut taken, mut elapsed) = (0, Duration::ZERO);
        for (tokens, wait) in requests {
            let wait = Duration::from_millis(u64::from(wait));
            clock.advance(wait);
            elapsed += wait;
            let tokens = Tokens::from(tokens);
            if teams.try_take("club", BUDGET, cost(tokens), clock.now()).is_ok() {
                taken += tokens;
            }
            let earned = BUDGET.rate as f64 * elapsed.as_secs_f64();
            if taken as f64 > earned + (BUDGET.burst + Tokens::from(u16::MAX)) as f64 {
                return false;
            }
        }
        true
    }
    let generator = Gen::from_size_and_seed(200, 11);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<(u16, u16)>) -> bool);
}

/// Guards against unbounded retries of requests to a failing zone.
#[test]
fn retries_stay_within_ratio() {
    let mut budget = RetryBudget::new(RetrySettings { ratio: 0.1, burst: 5.0 });
    let burst = (0..100).filter(|_| budget.try_withdraw()).count();
    let retries = (0..1_000).filter(|_| {
        budget.deposit();
        budget.try_withdraw()
    });
    let retries = retries.count();
    assert_eq!((burst, (99..=100).contains(&retries)), (5, true), "{retries} retries");
}

fn check_usable_rate(reserve: f64, zone_missing: bool, expected: Tokens) {
    assert_eq!(usable_rate(1_200_000, reserve, zone_missing), expected);
}

cases! {
    check_usable_rate {
        /// Guards against reserving capacity when `zone_reserve` is zero.
        no_reserve: (0.0, false, 1_200_000),
        /// Guards against a `zone_reserve` that has no effect.
        reserve_is_kept: (0.25, false, 900_000),
        /// Guards against keeping the reserve when a zone is missing.
        reserve_is_released_when_zone_is_missing: (0.25, true, 1_200_000),
    }
}

/// Guards against long prompts that use the reserve, and against refusing short prompts because of
/// it.
#[test]
fn short_prompts_bypass_reserve() {
    let clock = ManualClock::default();
    let mut limiter = PrefillLimiter::default();
    let mut take =
        |tokens, clock: &ManualClock| limiter.try_take(cost(tokens), 100_000, clock.now());
    assert!(take(90_000, &clock));
    assert!(!take(20_000, &clock));
    assert!((0..50).all(|_| take(8_000, &clock)));
    clock.advance(Duration::from_secs(1));
    assert!(!take(20_000, &clock), "short prompts leave less for others");
    clock.advance(Duration::from_secs(2));
    assert!(take(20_000, &clock));
}
