//! Zones whose targets get no new requests.

use crate::ids::ZoneId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Time for which a zone stays excluded if the store has lost that with its return from a copy. The
/// operator writes it again meanwhile.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// The zones that the operator has taken out of service.
#[derive(Clone, Debug, Default)]
pub(super) struct ExcludedZones {
    listed: BTreeSet<ZoneId>,
    /// Zones that were listed before the store came back from a copy, each with the time until which
    /// it stays excluded.
    kept: BTreeMap<ZoneId, Instant>,
}

impl ExcludedZones {
    /// Replaces the listed zones.
    pub(super) fn replace(&mut self, zones: BTreeSet<ZoneId>) {
        self.kept.retain(|zone, _| !zones.contains(zone));
        self.listed = zones;
    }

    /// Records that the list of zones which follows is that of a copy.
    pub(super) fn record_return(&mut self, now: Instant) {
        self.kept.extend(self.listed.iter().map(|zone| (zone.clone(), now + REWRITE_TIME)));
    }

    /// Returns the zones that are listed.
    pub(super) fn listed(&self) -> &BTreeSet<ZoneId> {
        &self.listed
    }

    /// Returns whether the targets of `zone` get no new requests at `now`.
    pub(super) fn contains(&self, zone: &str, now: Instant) -> bool {
        self.listed.contains(zone) || self.kept.get(zone).is_some_and(|until| now < *until)
    }
}
