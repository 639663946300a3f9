//! Evidence against a feature, and what is missing to quarantine it.

use super::{Feature, crash::BEGUN_WEIGHT};
use std::collections::BTreeSet;

/// Reason why the crashes that a feature is suspected of may have another cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Doubt {
    /// No other requests were answered since the first of the crashes, as if all targets failed.
    NothingElseAnswered,
    /// A request with the feature was answered before the first of the crashes.
    AnsweredBefore,
    /// Most crashes since the first one happened without the feature.
    OtherCrashes,
    /// Repeats of a few requests explain the crashes as well.
    FewRequests,
}

/// Evidence against a feature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assessment {
    /// Suspected feature.
    pub feature: Feature,
    /// Number of crashes that the feature is suspected of.
    pub crashes: usize,
    pub(super) weight: u32,
    /// Weight at which the feature is quarantined; `None` if no weight is enough.
    pub(super) required: Option<u32>,
    /// Other explanations of the crashes.
    pub doubts: BTreeSet<Doubt>,
}

impl Assessment {
    /// Returns whether the evidence is enough to quarantine the feature.
    pub(super) fn is_proof(&self) -> bool {
        self.required.is_some_and(|required| self.weight >= required)
    }

    /// Returns the evidence as a number of crashes of targets that had begun to answer.
    pub fn evidence(&self) -> f64 {
        f64::from(self.weight) / f64::from(BEGUN_WEIGHT)
    }

    /// Returns the evidence that is needed, in the same unit; infinite if none is enough.
    pub fn required(&self) -> f64 {
        self.required.map_or(f64::INFINITY, |weight| f64::from(weight) / f64::from(BEGUN_WEIGHT))
    }
}
