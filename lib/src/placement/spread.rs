//! Selection among targets whose loads are not known.
//!
//! Packing requests onto the first targets of an order that all entries share needs the loads that
//! the other entries cause. Entries that start together know none, and would all send to the same
//! targets. An entry without knowledge therefore treats all targets as first in that order, and
//! selects from a random sample. The size of the sample is the usual one: in the tests, four times
//! as many targets made no difference, and entries that compare all targets by the same observed
//! loads would select the same ones.

use super::Pool;
use std::time::{Duration, Instant};

/// Time without reports after which the other entries are taken to have ended, so that their loads
/// are known to be none. A fleet whose relays were lost settles within 2 s.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(10);

impl Pool {
    /// Returns whether an entry among `entries` selects a target at `now` without knowing the
    /// loads.
    pub(super) fn spreads_requests(&mut self, entries: usize, now: Instant) -> bool {
        if entries <= 1 || self.knows_loads(now) {
            self.unknown_since = None;
            return false;
        }
        let since = *self.unknown_since.get_or_insert(now);
        now.saturating_duration_since(since) < MAX_SPREAD_TIME
    }
}

/// Returns the place in the shared order that the target at `position` counts as.
pub(super) fn effective_position(position: usize, spreads: bool) -> usize {
    if spreads { 0 } else { position }
}
