//! The targets that must not change at the same time.

use crate::{
    config::{Fleet, Target},
    control::Report,
    ids::TargetId,
};
use std::collections::{BTreeMap, BTreeSet};

/// What an agent read from the agents of its group after its last step.
pub type Reports = BTreeMap<TargetId, Report>;

/// The group of one target, as the configuration in force has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Group {
    /// Targets of lower rank, by rank.
    pub(super) lower: Vec<TargetId>,
    /// Targets of higher rank, by rank.
    pub(super) higher: Vec<TargetId>,
}

impl Group {
    /// Returns the targets in service that share a model with `own`, ranked by ascending id.
    ///
    /// A target with several models is in one group with all targets of each of them, because it
    /// leaves service for all its models at once.
    pub(super) fn new(fleet: &Fleet, own: &Target) -> Self {
        let shares = |other: &Target| other.models.iter().any(|model| own.models.contains(model));
        let ids: BTreeSet<TargetId> = fleet
            .targets
            .iter()
            .filter(|other| other.id != own.id && fleet.in_service(other) && shares(other))
            .map(|other| other.id.clone())
            .collect();
        let (lower, higher) = ids.into_iter().partition(|id| *id < own.id);
        Self { lower, higher }
    }

    /// Returns all other targets of the group.
    pub(super) fn others(&self) -> impl Iterator<Item = &TargetId> {
        self.lower.iter().chain(&self.higher)
    }

    /// Returns how many other targets are or may be unavailable according to `reports`.
    ///
    /// A target that was not seen may be changing, so it counts.
    pub(super) fn unavailable(&self, reports: &Reports, fleet: &Fleet, note: u64) -> usize {
        let lower = self
            .lower
            .iter()
            .filter(|id| seen(reports, id, fleet).is_none_or(|report| !is_finished(report, note)));
        let higher = self.higher.iter().filter(|id| {
            seen(reports, id, fleet)
                .is_none_or(|report| report.progress.stage.is_claim() || !report.progress.serving)
        });
        lower.count() + higher.count()
    }

    /// Returns the first target of lower rank that was not seen.
    pub(super) fn unseen_lower(&self, reports: &Reports, fleet: &Fleet) -> Option<&TargetId> {
        self.lower.iter().find(|id| seen(reports, id, fleet).is_none())
    }
}

/// Returns the report of a target whose agent has the same configuration.
///
/// With another configuration it may see another group, so it counts as unseen until both agree.
pub(super) fn seen<'a>(reports: &'a Reports, id: &str, fleet: &Fleet) -> Option<&'a Report> {
    reports.get(id).filter(|report| report.revision == fleet.revision)
}

/// Returns whether a target has finished `note` and takes work.
pub(super) fn is_finished(report: &Report, note: u64) -> bool {
    let progress = &report.progress;
    progress.note == note && progress.done && progress.serving && !progress.stage.is_claim()
}
