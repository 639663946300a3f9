//! Loads that other entries report, and their sums by target.
//!
//! An entry reports its own loads together with those that are reported to it, so that the reports
//! of many entries reach a distant one as a single sum.

use super::{LoadDelta, TargetLoad};
use crate::ids::{EntryId, TargetId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Maximum age of the last report of a source for its loads to count: a few report intervals. Older
/// loads are kept, since the next report contains only changes.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Time for which a source must have reported on one connection for its loads to be complete. A load
/// takes one exchange to the relay of its zone, one between relays and one from there.
const SETTLE_TIME: Duration = Duration::from_millis(450);

/// Age of the last report at which its source counts as silent: the timeout of an exchange between
/// entries, and several report intervals.
const MAX_SILENCE: Duration = Duration::from_millis(600);

/// Number of a connection on which reports arrive, unique within one entry.
pub type ConnectionId = u64;

/// Origin of reported loads.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportSource {
    /// An entry of the same zone that uses this entry as its relay.
    Member(EntryId),
    /// The relay of another zone, for its zone.
    Zone(EntryId),
    /// The relay of this entry, for all entries that do not report to this one.
    Relay,
}

/// Last report of one source.
#[derive(Clone, Debug)]
struct Report {
    connection: ConnectionId,
    received_at: Instant,
    /// Time of the first report on the connection since which the source counts.
    counted_since: Instant,
    is_counted: bool,
    loads: BTreeMap<TargetId, TargetLoad>,
}

/// Loads reported by all sources.
#[derive(Clone, Debug, Default)]
pub(super) struct Reports {
    sources: BTreeMap<ReportSource, Report>,
    /// Sum of the loads of all counted reports.
    totals: BTreeMap<TargetId, TargetLoad>,
    /// Time of the last report of a source that has reported for `SETTLE_TIME`.
    settled_at: Option<Instant>,
}

impl Reports {
    /// Applies the changes of the loads of `source` that were received on `connection`.
    pub(super) fn update(
        &mut self,
        source: ReportSource,
        connection: ConnectionId,
        delta: &LoadDelta,
        now: Instant,
    ) {
        let report = self.sources.entry(source).or_insert_with(|| Report {
            connection,
            received_at: now,
            counted_since: now,
            is_counted: false,
            loads: BTreeMap::new(),
        });
        // A report that did not count changes the sums of all its targets, before and after.
        let recount = delta.full || !report.is_counted;
        let mut changed: BTreeSet<TargetId> =
            delta.busy.keys().chain(&delta.idle).cloned().collect();
        if recount {
            changed.extend(report.loads.keys().cloned());
        }
        delta.apply(&mut report.loads);
        if !report.is_counted || report.connection != connection {
            report.counted_since = now;
        }
        if report.connection != connection {
            // The relay may have changed, and the new one may not know all loads yet.
            self.settled_at = None;
        }
        (report.connection, report.received_at, report.is_counted) = (connection, now, true);
        if now.saturating_duration_since(report.counted_since) >= SETTLE_TIME {
            self.settled_at = Some(now);
        }
        self.sum(changed);
        self.expire(now);
    }

    /// Removes the loads of `source` if they were last reported on `connection`, which has closed.
    pub(super) fn remove(&mut self, source: &ReportSource, connection: ConnectionId) {
        if self.sources.get(source).is_some_and(|report| report.connection == connection)
            && let Some(report) = self.sources.remove(source)
        {
            self.sum(report.loads.into_keys());
        }
    }

    /// Excludes the loads of sources that have not reported for `MAX_REPORT_AGE`.
    pub(super) fn expire(&mut self, now: Instant) {
        let mut changed = BTreeSet::new();
        for report in self.sources.values_mut().filter(|report| report.is_counted) {
            if now.saturating_duration_since(report.received_at) > MAX_REPORT_AGE {
                report.is_counted = false;
                changed.extend(report.loads.keys().cloned());
            }
        }
        self.sum(changed);
    }

    /// Returns the sum of the reported loads of `target`.
    pub(super) fn total(&self, target: &str) -> TargetLoad {
        self.totals.get(target).copied().unwrap_or_default()
    }

    /// Returns the sums of the counted reports of the sources that `filter` selects.
    pub(super) fn sums(
        &self,
        filter: impl Fn(&ReportSource) -> bool,
    ) -> BTreeMap<TargetId, TargetLoad> {
        let mut sums: BTreeMap<TargetId, TargetLoad> = BTreeMap::new();
        let selected = self.sources.iter().filter(|(source, _)| filter(source));
        for (_, report) in selected.filter(|(_, report)| report.is_counted) {
            for (target, load) in &report.loads {
                match sums.get_mut(target) {
                    Some(sum) => sum.add(load),
                    None => drop(sums.insert(target.clone(), *load)),
                }
            }
        }
        sums
    }

    /// Returns the age of the oldest last report of a source whose loads count at `now`; zero if
    /// there is none.
    pub(super) fn age(&self, now: Instant) -> Duration {
        let counted = self.sources.values().filter(|report| report.is_counted);
        let ages = counted.map(|report| now.saturating_duration_since(report.received_at));
        ages.filter(|age| *age <= MAX_REPORT_AGE).max().unwrap_or_default()
    }

    /// Returns whether a source that reports for long enough to be complete goes on to do so.
    pub(super) fn are_settled(&self, now: Instant) -> bool {
        self.settled_at.is_some_and(|at| now.saturating_duration_since(at) <= MAX_SILENCE)
    }

    /// Returns the number of sources whose loads count.
    pub(super) fn source_count(&self) -> usize {
        self.sources.values().filter(|report| report.is_counted).count()
    }

    fn sum(&mut self, targets: impl IntoIterator<Item = TargetId>) {
        for target in targets {
            let mut total = TargetLoad::default();
            for report in self.sources.values().filter(|report| report.is_counted) {
                total.add(report.loads.get(&target).unwrap_or(&TargetLoad::default()));
            }
            match total == TargetLoad::default() {
                true => drop(self.totals.remove(&target)),
                false => drop(self.totals.insert(target, total)),
            }
        }
    }
}
