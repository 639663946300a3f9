//! One crash of a target, and the features of the requests that may have caused it.

use super::{AnswerStage, Feature, FeatureSet, Version};
use crate::{forward::Progress, ids::TargetId};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant, SystemTime};

/// Time after which a crash counts for requests other than those whose answers had begun without
/// any event. Until then, another entry may report that there was one, and a sound feature that was
/// started elsewhere at the time of the crash is acquitted.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Weight of a crash for a feature of a request whose answer had begun without any event.
pub(super) const BEGUN_WEIGHT: u32 = 4;

/// Weight of a crash for a feature of a request whose first event had just arrived. A target serves
/// several such requests at a time, so that more of them are victims.
pub(super) const STARTED_WEIGHT: u32 = 3;

/// Weight of a crash in which no answer had begun and many requests were lost, for a part of one that
/// waited.
const WAITING_WEIGHT: u32 = 2;

/// The same if few requests were lost, and for the content of a request that waited with many others.
/// Calls do not begin their answers before these are complete.
const LIKELY_WAITING_WEIGHT: u32 = 3;

/// Number of lost requests up to which one of them is likely the cause. The content of one that
/// waited then has `BEGUN_WEIGHT`, as a target runs few calls at a time.
const FEW_REQUESTS: usize = 3;

/// One run of a target, which ended in a crash. Restarted targets can keep their identifier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// Target that crashed.
    pub target: TargetId,
    /// Start time of the target, if the list of targets has it.
    pub started_at: Option<SystemTime>,
}

/// A request whose target crashed before or soon after it sent the first event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLoss {
    /// Run of the target.
    pub crash: CrashId,
    /// How much of the answer had arrived.
    pub progress: Progress,
    /// Features of the request.
    pub features: FeatureSet,
}

/// What is known about one crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) at: Instant,
    /// Parts of requests whose answers had begun without any event.
    pub(super) begun: FeatureSet,
    /// Parts of requests whose first event had just arrived.
    pub(super) started: FeatureSet,
    /// Parts of requests of which no answer had begun.
    pub(super) waiting: FeatureSet,
    /// Whether the answer to any request had begun without any event. Those that waited are victims
    /// then, also after that request was answered elsewhere.
    pub(super) had_begun: bool,
    /// Contents of all requests that were lost before or soon after their first event, also of those
    /// that are no suspects or were answered since.
    pub(super) lost: FeatureSet,
    pub(super) version: Version,
}

impl Crash {
    /// Returns a crash at `at` without suspects.
    pub(super) fn new(at: Instant, version: Version) -> Self {
        Self {
            at,
            begun: FeatureSet::new(),
            started: FeatureSet::new(),
            waiting: FeatureSet::new(),
            had_begun: false,
            lost: FeatureSet::new(),
            version,
        }
    }

    /// Adds the features of a request that was lost after `progress`.
    pub(super) fn add_loss(&mut self, progress: Progress, features: FeatureSet) {
        let suspects = match progress {
            Progress::Begun => &mut self.begun,
            Progress::Started => &mut self.started,
            Progress::Waiting => &mut self.waiting,
            Progress::Streaming => return,
        };
        self.lost.extend(features.iter().filter(|feature| feature.is_content()));
        suspects.extend(features);
        self.had_begun |= progress == Progress::Begun;
        self.tidy();
    }

    /// Adds what another report says of the same crash, and returns whether that is new.
    pub(super) fn merge(&mut self, other: Self) -> bool {
        let before = self.sizes();
        let had_begun = self.had_begun;
        self.at = self.at.min(other.at);
        self.begun.extend(other.begun);
        self.started.extend(other.started);
        self.waiting.extend(other.waiting);
        self.lost.extend(other.lost);
        self.had_begun |= other.had_begun;
        self.tidy();
        let changed = before != self.sizes() || had_begun != self.had_begun;
        if changed {
            self.version = other.version;
        }
        changed
    }

    /// Returns those of `candidates` that may have caused the crash, with the weight of this
    /// evidence. `is_silent` says whether no answer to a request with a feature has begun for some
    /// time, as if targets crash before they write.
    ///
    /// Requests that waited are suspects only if no answer had begun, since a target is more likely
    /// to crash at a request that it begins to answer.
    pub(super) fn suspects(
        &self,
        candidates: &FeatureSet,
        is_silent: impl Fn(Feature) -> bool,
        now: Instant,
    ) -> Vec<(Feature, u32)> {
        let settled = now.saturating_duration_since(self.at) >= SETTLING_TIME;
        let silent = |feature: &&Feature| candidates.contains(feature) && is_silent(**feature);
        let begun: FeatureSet = self.begun.iter().filter(silent).copied().collect();
        let mut suspects: Vec<_> = begun.iter().map(|feature| (*feature, BEGUN_WEIGHT)).collect();
        if settled {
            let is_started =
                |feature: &&Feature| candidates.contains(feature) && !begun.contains(feature);
            let started = self.started.iter().filter(is_started);
            suspects.extend(started.map(|feature| (*feature, STARTED_WEIGHT)));
            let waiting = self.waiting.iter().filter(silent);
            let of_few = self.contents().len() <= FEW_REQUESTS;
            suspects.extend(waiting.map(|feature| match feature {
                Feature::Part(_) if self.has_few_lost() => (*feature, LIKELY_WAITING_WEIGHT),
                Feature::Part(_) => (*feature, WAITING_WEIGHT),
                Feature::Content(_) if of_few => (*feature, BEGUN_WEIGHT),
                Feature::Content(_) => (*feature, LIKELY_WAITING_WEIGHT),
            }));
        }
        suspects
    }

    /// Returns whether the requests with the features `held` may have caused the crash.
    pub(super) fn is_explained_by(&self, held: &FeatureSet, now: Instant) -> bool {
        let settled = now.saturating_duration_since(self.at) >= SETTLING_TIME;
        self.was_answering_all(held) || (settled && held.is_subset(&self.waiting))
    }

    /// Returns whether all of `features` were in requests that the target was answering.
    pub(super) fn was_answering_all(&self, features: &FeatureSet) -> bool {
        features
            .iter()
            .all(|feature| self.begun.contains(feature) || self.started.contains(feature))
    }

    /// Returns whether all of `features` were in requests that were lost.
    pub(super) fn involves_all(&self, features: &FeatureSet) -> bool {
        self.was_answering_all(features) || features.is_subset(&self.waiting)
    }

    /// Removes `feature` from the suspects as far as `stage` clears it, and returns whether it was
    /// one.
    pub(super) fn clear(&mut self, feature: Feature, stage: AnswerStage) -> bool {
        let was_started = stage == AnswerStage::Sustained && self.started.remove(&feature);
        let was_begun = self.begun.remove(&feature) || self.waiting.remove(&feature);
        was_started || was_begun
    }

    /// Returns whether `feature` is recorded.
    pub(super) fn contains(&self, feature: Feature) -> bool {
        [&self.begun, &self.started, &self.waiting].iter().any(|set| set.contains(&feature))
    }

    /// Returns all features that are recorded.
    pub(super) fn features(&self) -> impl Iterator<Item = Feature> {
        self.begun.iter().chain(self.only_started()).chain(&self.waiting).copied()
    }

    /// Returns the contents of the requests that may have caused the crash.
    pub(super) fn contents(&self) -> FeatureSet {
        self.features().filter(Feature::is_content).collect()
    }

    /// Returns whether at most [`FEW_REQUESTS`] requests were lost.
    pub(super) fn has_few_lost(&self) -> bool {
        self.lost.len() <= FEW_REQUESTS
    }

    /// Returns the number of features that are recorded.
    pub(super) fn feature_count(&self) -> usize {
        self.sizes().into_iter().sum()
    }

    fn sizes(&self) -> [usize; 4] {
        [&self.begun, &self.started, &self.waiting, &self.lost].map(FeatureSet::len)
    }

    fn only_started(&self) -> impl Iterator<Item = &Feature> {
        self.started.iter().filter(|feature| !self.begun.contains(feature))
    }

    /// Removes the requests that waited if they are no evidence.
    fn tidy(&mut self) {
        if self.had_begun {
            self.waiting.clear();
        }
    }
}
