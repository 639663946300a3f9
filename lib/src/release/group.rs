//! Groups of targets, of which only a limited number may change at the same time.

use crate::{
    config::{Fleet, Target},
    control::Report,
    ids::TargetId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Reports that an agent has read from the agents of its group since its last step.
pub type Reports = BTreeMap<TargetId, Report>;

/// The other targets in the group of one target, according to the active configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Group {
    /// Other targets whose identifier, and so their rank, is lower; in ascending order.
    pub(super) lower: Vec<TargetId>,
    /// Other targets whose identifier, and so their rank, is higher; in ascending order.
    pub(super) higher: Vec<TargetId>,
}

impl Group {
    /// Creates the group of `own`: the targets in service that share a model with it, ranked by id.
    ///
    /// A target with several models shares a group with all targets of each of these models,
    /// because a change makes it unavailable for all its models at once.
    pub(super) fn new(fleet: &Fleet, own: &Target) -> Self {
        let shares_model =
            |other: &Target| other.models.iter().any(|model| own.models.contains(model));
        let ids: BTreeSet<TargetId> = fleet
            .targets
            .iter()
            .filter(|other| other.id != own.id && fleet.in_service(other) && shares_model(other))
            .map(|other| other.id.clone())
            .collect();
        let (lower, higher) = ids.into_iter().partition(|id| *id < own.id);
        Self { lower, higher }
    }

    /// Returns all other targets of the group, those of lower rank first.
    pub(super) fn others(&self) -> impl Iterator<Item = &TargetId> {
        self.lower.iter().chain(&self.higher)
    }

    /// Returns the number of other targets that are or may be unavailable according to `reports`.
    ///
    /// A target of lower rank is counted until it has completed the note and serves. A target of
    /// higher rank is counted while it holds a claim or does not serve. A target without a current
    /// report may be changing, so it is counted.
    pub(super) fn unavailable(&self, reports: &Reports, fleet: &Fleet, note_number: u64) -> usize {
        let lower = self.lower.iter().filter(|id| {
            current_report(reports, id, fleet)
                .is_none_or(|report| !is_report_finished(report, note_number))
        });
        let higher = self.higher.iter().filter(|id| {
            current_report(reports, id, fleet).is_none_or(|report| {
                report.progress.stage.holds_claim() || !report.progress.serving
            })
        });
        lower.count() + higher.count()
    }

    /// Returns the first target of lower rank without a current report.
    pub(super) fn first_unreported_lower(
        &self,
        reports: &Reports,
        fleet: &Fleet,
    ) -> Option<&TargetId> {
        self.lower.iter().find(|id| current_report(reports, id, fleet).is_none())
    }
}

/// Returns the report of a target if its agent has the same configuration revision.
///
/// With another revision its group may differ, so its report is ignored until the revisions match.
pub(super) fn current_report<'a>(
    reports: &'a Reports,
    id: &str,
    fleet: &Fleet,
) -> Option<&'a Report> {
    reports.get(id).filter(|report| report.revision == fleet.revision)
}

/// Returns whether a target has completed the note with this number and accepts work.
pub(super) fn is_report_finished(report: &Report, note_number: u64) -> bool {
    let progress = &report.progress;
    progress.note == note_number
        && progress.done
        && progress.serving
        && !progress.stage.holds_claim()
}
