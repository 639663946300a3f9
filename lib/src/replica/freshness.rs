//! Age of the newest confirmed state of a copy.

use std::time::Duration;

/// Latest time at which a copy is known to have been up to date with the store.
///
/// Times are those of `Clock::uptime`, which advances while the VM is suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness(Option<Duration>);

impl Freshness {
    /// Records that the copy was up to date at `at`. Earlier times than the latest are ignored.
    pub fn confirm(&mut self, at: Duration) {
        self.0 = self.0.max(Some(at));
    }

    /// Returns the age of the confirmed state at `now`; `None` if it was never confirmed.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.0.map(|at| now.saturating_sub(at))
    }

    /// Returns whether the age of the confirmed state at `now` is at most `max_age`.
    pub fn is_within(&self, max_age: Duration, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }
}
