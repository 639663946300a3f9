//! Tests of the lookup of routes and teams, and of the shared retry budget.

use fulmarhead_lib::{
    clock::Clock,
    limits::{SharedRetryBudget, SharedRetrySettings},
    routes::{CallerLimits, Denial, RetryPolicy, Route, RouteTable, RouteTableBuilder},
};
use std::time::Duration;
use testutils::{ManualClock, cases};

fn route(id: &str, host: &str, prefix: &str, anonymous: bool) -> Route {
    Route {
        id: id.into(),
        host: host.into(),
        prefix: prefix.into(),
        retry_policy: RetryPolicy::Always,
        streaming: false,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_gap: None,
        priority: 2,
        services: vec![("one".into(), 9), ("two".into(), 1)],
        max_attempts: 2,
        anonymous,
    }
}

fn table() -> RouteTable {
    let mut builder = RouteTableBuilder::new(7, CallerLimits::default());
    builder.add_route(route("short", "h.example", "/a/", false));
    builder.add_route(route("long", "h.example", "/a/b/", false));
    builder.add_route(route("open", "h.example", "/open/", true));
    builder.add_team(&"club".to_owned(), Some(1), ["k1", "k2"].map(str::to_owned).into_iter());
    builder.build()
}

type Expected = Result<(&'static str, Option<&'static str>, u8), Denial>;

fn check_select(host: &str, path: &str, key: Option<&str>, expected: Expected) {
    let found = table().select(host, path, key);
    let found = found.map(|found| (found.route.id.clone(), found.team, found.priority));
    let expected =
        expected.map(|(id, team, priority)| (id.to_owned(), team.map(str::to_owned), priority));
    assert_eq!(found, expected);
}

fn check_select_service(draw: f64, expected: &str) {
    assert_eq!(route("r", "h", "/", false).select_service(draw).unwrap(), expected);
}

const SETTINGS: SharedRetrySettings =
    SharedRetrySettings { ratio: 0.2, extra_retries: 100.0, window: Duration::from_secs(10) };

/// Checks that the retries of all entries in one window stay within the budget when one entry gets
/// all requests.
fn check_retry_budget(entries: usize, requests: usize) {
    let clock = ManualClock::default();
    let mut budgets = vec![SharedRetryBudget::default(); entries];
    for _ in 0..requests {
        budgets[0].record_request(&SETTINGS, clock.now());
    }
    let mut taken = 0;
    for _ in 0..9 {
        clock.advance(Duration::from_secs(1));
        for budget in &mut budgets {
            while budget.try_withdraw(&SETTINGS, entries, clock.now()) {
                taken += 1;
            }
        }
    }
    let allowed = SETTINGS.ratio * requests as f64 + SETTINGS.extra_retries;
    assert!(f64::from(taken) <= allowed, "{taken} retries made, {allowed} allowed");
    assert!(taken > 0);
}

cases! {
    check_select {
        key_of_a_team: ("h.example", "/a/x", Some("k1"), Ok(("short", Some("club"), 1))),
        longest_prefix: ("h.example", "/a/b/c", Some("k2"), Ok(("long", Some("club"), 1))),
        host_with_port_and_case: ("H.Example:80", "/a/", Some("k1"), Ok(("short", Some("club"), 1))),
        /// Guards against a prefix that matches a part of a path segment.
        partial_segment: ("h.example", "/ab/c", Some("k1"), Err(Denial::NoRoute)),
        other_host: ("g.example", "/a/x", Some("k1"), Err(Denial::NoRoute)),
        /// Guards against accepting a key that was revoked.
        unknown_key: ("h.example", "/a/x", Some("k3"), Err(Denial::UnknownKey)),
        no_key: ("h.example", "/a/x", None, Err(Denial::UnknownKey)),
        anonymous: ("h.example", "/open/x", None, Ok(("open", None, 2))),
    }

    check_select_service {
        low: (0.0, "one"),
        high: (0.95, "two"),
        /// Guards against a draw that rounds to a value beyond the last weight.
        draw_beyond_weights: (1.0, "two"),
    }

    check_retry_budget {
        /// Guards against entries that each use the full number of additional retries.
        uneven_split: (3, 400),
        no_requests: (4, 0),
        many_entries: (21, 50),
    }
}

/// Guards against retries that still count after their window has passed.
#[test]
fn budget_returns_after_the_window() {
    let clock = ManualClock::default();
    let mut budget = SharedRetryBudget::default();
    while budget.try_withdraw(&SETTINGS, 1, clock.now()) {}
    assert!(!budget.allows(&SETTINGS, 1, clock.now()));
    clock.advance(SETTINGS.window);
    assert!(budget.allows(&SETTINGS, 1, clock.now()));
}
