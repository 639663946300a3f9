//! Patterns of load, and what the placement must reach under them.

use crate::fleet::{Fleet, Kind};
use std::time::Duration;
use testutils::cases;

/// A short request, as at the users' large deployment.
const SHORT: Kind = Kind {
    prompt_tokens: 4_960,
    events: 24,
    objective: Duration::from_millis(400),
    max_gap: Duration::from_millis(300),
};

/// A request of medium length.
const MEDIUM: Kind = Kind {
    prompt_tokens: 45_000,
    events: 14,
    objective: Duration::from_millis(1_500),
    max_gap: Duration::from_millis(800),
};

/// Share of the requests that must be on time.
const SHARE_ON_TIME: f64 = 0.95;

/// Time before a burst, after which the number of requests in flight is stable.
const LEAD: Duration = Duration::from_secs(3);

/// Plays a burst of short requests that fills the slots of all engines to over six in ten, with a
/// calm before it. Entries learn of each other's requests up to 300 ms late.
fn check_short_burst(zones: usize, entries: usize, engines: usize, seed: u64) {
    let mut fleet = Fleet::new(zones, entries, engines, seed);
    let rate = |per_engine: f64| per_engine * engines as f64;
    fleet.play(LEAD, &[(SHORT, rate(1.4)), (MEDIUM, rate(0.1))]);
    fleet.play(Duration::from_secs(5), &[(SHORT, rate(3.4)), (MEDIUM, rate(0.05))]);
    let share = fleet.share_on_time(SHORT);
    assert!(share >= SHARE_ON_TIME, "{share:.3} of the short requests are on time");
}

/// Plays requests of medium length that arrive together, so that entries which learn of each
/// other's requests up to 300 ms late must not all select the same idle engines.
fn check_medium_burst(zones: usize, entries: usize, engines: usize, seed: u64) {
    let mut fleet = Fleet::new(zones, entries, engines, seed);
    let rate = |per_engine: f64| per_engine * engines as f64;
    fleet.play(LEAD, &[(SHORT, rate(0.6)), (MEDIUM, rate(0.1))]);
    fleet.play(Duration::from_secs(5), &[(SHORT, rate(0.6)), (MEDIUM, rate(0.3))]);
    let share = fleet.share_on_time(MEDIUM);
    assert!(share >= SHARE_ON_TIME, "{share:.3} of the medium requests are on time");
}

cases! {
    check_short_burst {
        /// Guards against entries that fill the same engines because they don't know of each
        /// other's requests yet.
        short_burst_on_large_fleet: (5, 40, 85, 1),
        short_burst_on_small_fleet: (3, 3, 21, 1),
    }
    check_medium_burst {
        /// Guards against entries that select the same idle engine for prompts which arrive
        /// together.
        medium_burst_on_large_fleet: (5, 40, 85, 2),
        medium_burst_on_small_fleet: (3, 3, 21, 2),
    }
}
