//! How old the newest confirmed state of a copy is.

use std::time::Duration;

/// The latest time at which a copy is known to have held all that was written by then.
///
/// Times are those of `Clock::uptime`, which counts while the VM is suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness(Option<Duration>);

impl Freshness {
    /// Records that the copy was current at `at`.
    pub fn confirm(&mut self, at: Duration) {
        self.0 = self.0.max(Some(at));
    }

    /// Returns how old the state is at `now`; none if it was never confirmed.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.0.map(|at| now.saturating_sub(at))
    }

    /// Returns whether the state is at most `bound` old at `now`.
    pub fn within(&self, bound: Duration, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }
}
