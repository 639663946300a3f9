//! Detection of zones whose targets can't be reached.
//!
//! Without it, an entry learns of each target of a lost zone by a request that fails there, which
//! takes most of the objective of a short request, and again after each back-off.

use crate::ids::{TargetId, ZoneId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Number of targets of a zone that must be unreachable, with no response of the zone in between,
/// for the zone to be suspected. One or two crash on their own.
const MIN_TARGETS: usize = 3;

/// Time for which a suspected zone gets no requests after its last failure or probe. Then a single
/// request probes whether it has returned.
const SUSPICION_TIME: Duration = Duration::from_millis(300);

/// Targets that were found unreachable since the last response from their zone.
#[derive(Clone, Debug)]
struct Unreachable {
    targets: BTreeSet<TargetId>,
    /// Time of the last failure or probe.
    last_trial: Instant,
}

impl Unreachable {
    /// Returns whether the last failure or probe is recent.
    fn is_tried(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_trial) < SUSPICION_TIME
    }
}

/// Unreachable targets of all zones, as this entry sees them.
#[derive(Clone, Debug, Default)]
pub(super) struct Outages {
    by_zone: BTreeMap<ZoneId, Unreachable>,
}

impl Outages {
    /// Records that `target` in `zone` can't be reached.
    pub(super) fn record_failure(&mut self, zone: &ZoneId, target: &str, now: Instant) {
        let unreachable = self
            .by_zone
            .entry(zone.clone())
            .or_insert_with(|| Unreachable { targets: BTreeSet::new(), last_trial: now });
        unreachable.targets.insert(target.to_owned());
        unreachable.last_trial = now;
    }

    /// Records that a request is sent to a target in `zone`. It is the probe of a zone that was
    /// suspected, which gets no others until it responds or `SUSPICION_TIME` has passed again.
    pub(super) fn record_send(&mut self, zone: &ZoneId, now: Instant) {
        if let Some(unreachable) = self.by_zone.get_mut(zone)
            && unreachable.targets.len() >= MIN_TARGETS
            && !unreachable.is_tried(now)
        {
            unreachable.last_trial = now;
        }
    }

    /// Records that a target in `zone` has responded.
    pub(super) fn record_activity(&mut self, zone: &ZoneId) {
        self.by_zone.remove(zone);
    }

    /// Returns whether the targets of `zone` are probably unreachable at `now`.
    pub(super) fn is_suspected(&self, zone: &ZoneId, now: Instant) -> bool {
        self.by_zone.get(zone).is_some_and(|unreachable| {
            unreachable.targets.len() >= MIN_TARGETS && unreachable.is_tried(now)
        })
    }
}
