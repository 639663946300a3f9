//! Detection of the features that crash targets.

use super::{
    AnswerStage, Assessment, Detection, Doubt, Feature, FeatureSet, Quarantine,
    crash::{BEGUN_WEIGHT, STARTED_WEIGHT},
    registry::MAX_HOLDS,
    suspicion::Suspicion,
};

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Weight of the evidence at which a feature is quarantined: four crashes in a row of targets that
/// had begun to answer a request with the feature, and no answer in between.
const CONVICTION_WEIGHT: u32 = 4 * BEGUN_WEIGHT;

/// The same if one of the crashes is weaker evidence, such as one after the first event: six such
/// crashes in a row.
const WEAK_CONVICTION_WEIGHT: u32 = 6 * STARTED_WEIGHT;

/// The same for a content that was answered before, while other requests are answered.
const ANSWERED_CONVICTION_WEIGHT: u32 = 2 * CONVICTION_WEIGHT;

/// Weight of the evidence from which a request that lost its target is not sent to another one: two
/// crashes of targets that had begun to answer a request with the feature.
const SUSPICION_WEIGHT: u32 = 2 * BEGUN_WEIGHT;

/// Time without any answer to a request with a feature from which the feature can be suspected. A
/// feature that many sound requests share is answered all the time, also while targets crash.
const MIN_SILENCE: Duration = Duration::from_secs(2);

/// Time after the latest crash during which the evidence is reviewed, longer than `MIN_SILENCE`.
const REVIEW_TIME: Duration = Duration::from_secs(3);

/// Number of answers since the first crash of a feature from which the targets are known to answer
/// other requests. With fewer, the targets may have another problem than that feature, or no other
/// requests come.
pub(super) const MIN_OTHER_ANSWERS: usize = 2;

/// Share of all crashes since the first one that a feature must be suspected of, unless it has
/// crashed twice as many targets as otherwise needed. When many targets crash for another reason,
/// some features are in several of the crashes by chance.
const MIN_CRASH_SHARE: f64 = 0.3;

impl Quarantine {
    /// Returns whether a feature of `features` has crashed so many targets in a row that a request
    /// which lost its target should not be sent to another one.
    pub fn is_suspected(&self, features: &FeatureSet, now: Instant) -> bool {
        if !features.iter().any(|feature| self.evidence.is_suspect(*feature)) {
            return false;
        }
        let suspicions = self.suspicions(now);
        let weights =
            features.iter().filter_map(|feature| suspicions.get(feature)).map(|it| it.weight);
        weights.max().unwrap_or(0) >= SUSPICION_WEIGHT
    }

    /// Returns the strongest evidence against a feature, as a number of crashes of targets that had
    /// begun to answer.
    pub fn strongest_suspicion(&self, now: Instant) -> f64 {
        let weights = self.suspicions(now).into_values().map(|suspicion| suspicion.weight);
        f64::from(weights.max().unwrap_or(0)) / f64::from(BEGUN_WEIGHT)
    }

    /// Returns what is known against the most suspected feature that is not quarantined, for the log.
    pub fn strongest_assessment(&self, now: Instant) -> Option<Assessment> {
        let suspicions = self.suspicions(now).into_iter();
        let open =
            suspicions.filter(|(feature, _)| !self.is_covered(&FeatureSet::from([*feature])));
        let strongest = open.max_by_key(|(feature, suspicion)| {
            (suspicion.weight, Reverse(self.log(AnswerStage::Sustained).last(*feature)))
        });
        strongest.map(|(feature, suspicion)| self.assess(feature, &suspicion))
    }

    /// Looks at the evidence again, as some of it counts only after some time, and returns the
    /// features that are quarantined because of it.
    pub fn review(&mut self, now: Instant) -> Vec<Detection> {
        let latest = self.evidence.latest();
        match latest.is_some_and(|at| now.saturating_duration_since(at) < REVIEW_TIME) {
            true => self.detect(now),
            false => Vec::new(),
        }
    }

    /// Quarantines the features against which there is enough evidence, the most suspected first:
    /// the crashes that they explain no longer count for others.
    pub(super) fn detect(&mut self, now: Instant) -> Vec<Detection> {
        let mut detections = Vec::new();
        // The bound guards against holds that displace each other.
        for _ in 0..MAX_HOLDS {
            let sets = self.strongest_suspects(now);
            if sets.is_empty() {
                break;
            }
            detections.extend(sets.into_iter().map(|set| self.hold(set, now, 1)));
        }
        detections
    }

    /// Returns the sets to hold because of the most suspected features, if there is enough evidence
    /// against these and they are not quarantined yet.
    ///
    /// Several parts that were in the same requests each time become one set, since the evidence does
    /// not say which of them crashes targets. No request has two contents, so that each is a set.
    fn strongest_suspects(&self, now: Instant) -> Vec<FeatureSet> {
        // Of equally suspected features, one that sound requests share was answered last.
        let mut groups: BTreeMap<_, FeatureSet> = BTreeMap::new();
        for (feature, suspicion) in self.suspicions(now) {
            if self.assess(feature, &suspicion).is_proof() {
                let rank = (
                    suspicion.weight,
                    Reverse(self.log(AnswerStage::Sustained).last(feature)),
                    suspicion.crashes,
                );
                groups.entry(rank).or_default().insert(feature);
            }
        }
        let split = |group: FeatureSet| {
            let (contents, parts): (FeatureSet, FeatureSet) =
                group.into_iter().partition(Feature::is_content);
            let contents = contents.into_iter().map(|content| FeatureSet::from([content]));
            let sets = contents.chain([parts]).filter(|set| !set.is_empty());
            sets.filter(|set| !self.is_covered(set)).collect::<Vec<FeatureSet>>()
        };
        let sets = groups.into_values().rev().map(split);
        sets.into_iter().find(|sets| !sets.is_empty()).unwrap_or_default()
    }

    /// Returns the evidence against `feature` and how much of it is needed to hold the feature.
    ///
    /// A content that was never answered is held for its own crashes, whatever else happens: only the
    /// repeats of one request are refused if it is a victim.
    fn assess(&self, feature: Feature, suspicion: &Suspicion) -> Assessment {
        match feature {
            Feature::Content(_) => self.assess_content(feature, suspicion),
            Feature::Part(_) => self.assess_part(feature, suspicion),
        }
    }

    /// A content that was answered before needs more evidence. It is more likely a victim, as a call
    /// that many callers repeat is while all targets of its service crash. While nothing else is
    /// answered, only crashes in which few requests were lost count, and of a cluster as for a part.
    fn assess_content(&self, content: Feature, suspicion: &Suspicion) -> Assessment {
        let mut weight = suspicion.weight;
        let mut required = CONVICTION_WEIGHT;
        let mut doubts = BTreeSet::new();
        if self.was_answered(content) {
            doubts.insert(Doubt::AnsweredBefore);
            required = ANSWERED_CONVICTION_WEIGHT;
            if !self.has_other_answers(suspicion.first_at) {
                doubts.insert(Doubt::NothingElseAnswered);
                weight = suspicion.few_weight;
                required = WEAK_CONVICTION_WEIGHT;
            }
        }
        let crashes = suspicion.crashes.len();
        Assessment { feature: content, crashes, weight, required: Some(required), doubts }
    }

    /// While nothing else is answered, a part needs one crash more than usual, and two if it was
    /// answered before. Few requests must have been lost in most of these crashes: all requests may
    /// share the part, and all targets may fail under their load. Otherwise a part that was answered
    /// is not held, and another one for twice the usual evidence.
    fn assess_part(&self, part: Feature, suspicion: &Suspicion) -> Assessment {
        let Suspicion { mut weight, few_weight, is_weak, first_at, .. } = *suspicion;
        let (usual, crash) = match is_weak {
            true => (WEAK_CONVICTION_WEIGHT, STARTED_WEIGHT),
            false => (CONVICTION_WEIGHT, BEGUN_WEIGHT),
        };
        let mut required = usual;
        let mut doubts = BTreeSet::new();
        if !self.has_other_answers(first_at) {
            doubts.insert(Doubt::NothingElseAnswered);
            required += crash;
            if self.was_answered(part) {
                doubts.insert(Doubt::AnsweredBefore);
                required += crash;
                weight = few_weight;
            } else if 2 * few_weight < weight {
                // An entry that has just started does not know what was answered before.
                required = 2 * usual;
            }
        }
        let all = self.evidence.weight_since(first_at).max(1);
        if f64::from(weight) / f64::from(all) < MIN_CRASH_SHARE {
            doubts.insert(Doubt::OtherCrashes);
            required = required.max(2 * usual);
        }
        let is_repeated = !self.evidence.is_of_many_requests(&suspicion.crashes);
        doubts.extend(is_repeated.then_some(Doubt::FewRequests));
        let required = (!is_repeated).then_some(required);
        Assessment { feature: part, crashes: suspicion.crashes.len(), weight, required, doubts }
    }

    fn was_answered(&self, feature: Feature) -> bool {
        self.log(AnswerStage::Sustained).last(feature).is_some()
    }

    /// Returns whether all requests with the features of `set` are held or on trial.
    fn is_covered(&self, set: &FeatureSet) -> bool {
        self.holds().any(|held| held.is_subset(set))
    }

    /// Returns the suspicions of features that were not answered for some time.
    fn suspicions(&self, now: Instant) -> BTreeMap<Feature, Suspicion> {
        let holds: Vec<&FeatureSet> = self.holds().collect();
        let is_silent = |feature, stage| {
            let last = self.log(stage).last(feature);
            last.is_none_or(|at| now.saturating_duration_since(at) >= MIN_SILENCE)
        };
        let begins_none = |feature| is_silent(feature, AnswerStage::FirstEvent);
        let mut suspicions = self.evidence.suspicions(&holds, begins_none, now);
        suspicions.retain(|feature, _| is_silent(*feature, AnswerStage::Sustained));
        suspicions
    }

    /// Returns whether enough requests were answered since `since`.
    fn has_other_answers(&self, since: Instant) -> bool {
        self.recent_answers.len() == MIN_OTHER_ANSWERS
            && self.recent_answers.front().is_some_and(|at| *at >= since)
    }
}
