//! Crashes of targets, and the requests that were lost in them.

use super::{
    AnswerStage, Feature, FeatureSet, Version,
    crash::{BEGUN_WEIGHT, Crash, CrashId},
    suspicion::{CLUSTER_TIME, Cluster, CrashEvent, Suspicion},
};
use crate::ids::TargetId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time for which a crash is remembered, so that requests that come a minute apart are recognized.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of remembered crashes; the oldest are forgotten first.
const MAX_CRASHES: usize = 128;

/// Maximum number of features of all remembered crashes together, eight crashes of the most
/// features that one request can have; the oldest crashes are forgotten first.
const MAX_FEATURES: usize = 32_768;

/// Weight of the crashes of a content from which those that another held content explains count for it
/// as well: requests of both were lost in them, and either may be the cause.
const MIN_OWN_WEIGHT: u32 = 2 * BEGUN_WEIGHT;

/// Number of requests whose repeats can crash targets while a part that they share with sound requests
/// is not held for it.
const REPEATED_REQUESTS: usize = 2;

/// The crashes that are remembered.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    crashes: BTreeMap<CrashId, Crash>,
    /// Number of crashes that each feature is a suspect of.
    counts: BTreeMap<Feature, usize>,
}

impl Evidence {
    /// Adds what is known about a crash, and returns whether that is new. A crash that two entries
    /// have seen happened at the earlier of their times.
    pub(super) fn add(&mut self, id: CrashId, crash: Crash, now: Instant) -> bool {
        self.forget_old(now);
        let known = self.crashes.remove(&id);
        let (merged, changed) = match known {
            None => (crash, true),
            Some(mut known) => {
                self.count_features(&known, false);
                let changed = known.merge(crash);
                (known, changed)
            }
        };
        self.count_features(&merged, true);
        self.crashes.insert(id, merged);
        self.evict();
        changed
    }

    /// Returns the time of the crash `id`, of which a report says that it was at `at`.
    pub(super) fn crash_time(&self, id: &CrashId, at: Instant) -> Instant {
        self.crashes.get(id).map_or(at, |known| known.at.min(at))
    }

    /// Returns the crashes about which something was learned after `version`.
    pub(super) fn changed_since(
        &self,
        version: Version,
    ) -> impl Iterator<Item = (&CrashId, &Crash)> {
        self.crashes.iter().filter(move |(_, crash)| crash.version > version)
    }

    /// Returns whether `feature` is a suspect of any crash.
    pub(super) fn is_suspect(&self, feature: Feature) -> bool {
        self.counts.contains_key(&feature)
    }

    /// Removes `feature` from the suspects of the crashes until `at`, when an answer to a request
    /// with it had reached `stage`. Returns whether it was one.
    pub(super) fn clear(&mut self, feature: Feature, stage: AnswerStage, at: Instant) -> bool {
        let Some(count) = self.counts.get_mut(&feature) else { return false };
        let mut cleared = false;
        for crash in self.crashes.values_mut().filter(|crash| crash.at <= at) {
            if crash.clear(feature, stage) {
                cleared = true;
                *count -= usize::from(!crash.contains(feature));
            }
        }
        if *count == 0 {
            self.counts.remove(&feature);
        }
        cleared
    }

    /// Returns the suspicion of each feature that is a suspect of several crashes.
    ///
    /// A crash does not count for a feature if one of `holds` without that feature explains it, unless
    /// a content explains it and other crashes speak against the feature. A content that is held does
    /// not clear a part: the request may crash targets because of the part.
    /// `is_silent` says whether no answer to a request with a feature has begun for some time.
    pub(super) fn suspicions(
        &self,
        holds: &[&FeatureSet],
        is_silent: impl Fn(Feature) -> bool,
        now: Instant,
    ) -> BTreeMap<Feature, Suspicion> {
        let mut suspicions: BTreeMap<Feature, Suspicion> = BTreeMap::new();
        // Most features of long prompts are in one crash only.
        let repeated =
            self.counts.iter().filter(|(_, count)| **count > 1).map(|(feature, _)| *feature);
        let repeated: FeatureSet = repeated.collect();
        if repeated.is_empty() {
            return suspicions;
        }
        for (position, event) in self.events().into_iter().enumerate() {
            let crash = event.crash;
            let explaining = holds.iter().filter(|held| crash.is_explained_by(held, now));
            let explaining: Vec<&FeatureSet> = explaining.copied().collect();
            for (feature, weight) in crash.suspects(&repeated, &is_silent, now) {
                let of_contents = |held: &&FeatureSet| held.iter().all(Feature::is_content);
                let others = explaining.iter().filter(|held| !held.contains(&feature));
                let (contents, parts): (Vec<&FeatureSet>, Vec<&FeatureSet>) =
                    others.copied().partition(of_contents);
                if !parts.is_empty() {
                    continue;
                }
                let is_explained = feature.is_content() && !contents.is_empty();
                let suspicion =
                    suspicions.entry(feature).or_insert_with(|| Suspicion::new(crash.at));
                match is_explained {
                    true => suspicion.explained_weight += weight,
                    false => suspicion.add(event, weight, position, feature.is_content()),
                }
            }
        }
        for suspicion in suspicions.values_mut().filter(|it| it.weight >= MIN_OWN_WEIGHT) {
            suspicion.weight += suspicion.explained_weight;
        }
        suspicions.retain(|_, suspicion| suspicion.weight > 0);
        suspicions
    }

    /// Returns whether more than [`REPEATED_REQUESTS`] contents are needed for one in each of the
    /// crashes at `positions`, so that repeats of a few requests do not explain them.
    pub(super) fn is_of_many_requests(&self, positions: &[usize]) -> bool {
        let crashes = self.in_order();
        let mut contents: Vec<FeatureSet> =
            positions.iter().map(|position| crashes[*position].contents()).collect();
        for _ in 0..REPEATED_REQUESTS {
            let mut counts: BTreeMap<Feature, usize> = BTreeMap::new();
            for content in contents.iter().flatten() {
                *counts.entry(*content).or_default() += 1;
            }
            let Some((most, _)) = counts.into_iter().max_by_key(|(_, count)| *count) else { break };
            contents.retain(|of_crash| !of_crash.contains(&most));
        }
        !contents.is_empty()
    }

    /// Returns the crashes in the order of time.
    fn in_order(&self) -> Vec<&Crash> {
        let mut crashes: Vec<&Crash> = self.crashes.values().collect();
        crashes.sort_by_key(|crash| crash.at);
        crashes
    }

    /// Returns the crashes in the order of time, with what they have to do with those before.
    fn events(&self) -> Vec<CrashEvent<'_>> {
        let crashes = self.in_order();
        let is_resent = |position: usize, crash: &Crash| {
            let earlier = crashes[..position].iter().rev();
            let cluster: Vec<&&Crash> = earlier
                .take_while(|it| crash.at.saturating_duration_since(it.at) < CLUSTER_TIME)
                .filter(|it| it.at < crash.at)
                .collect();
            let is_lost_before = |content| cluster.iter().any(|it| it.lost.contains(content));
            !crash.lost.is_empty() && crash.lost.iter().all(is_lost_before)
        };
        let events = crashes.iter().enumerate();
        let events = events
            .map(|(position, crash)| CrashEvent { crash, is_resent: is_resent(position, crash) });
        events.collect()
    }

    /// Returns the weight of the crashes since `since` for a feature that is suspected of all of
    /// them.
    pub(super) fn weight_since(&self, since: Instant) -> u32 {
        let mut cluster = Cluster::new(since);
        let recent = self.events().into_iter().filter(|event| event.crash.at >= since);
        let counted = recent.filter(|event| cluster.add(*event));
        counted.map(|_| BEGUN_WEIGHT).sum()
    }

    /// Returns whether requests with `features`, which are on trial, caused the crash `id`. The target
    /// was answering them, or no other one if they are a content or few requests were lost: a call has
    /// no answer that begins before it is complete, and a target may crash before it writes a head.
    pub(super) fn was_caused_by(&self, id: &CrashId, features: &FeatureSet) -> bool {
        let of_contents = features.iter().all(Feature::is_content);
        self.crashes.get(id).is_some_and(|crash| {
            let is_likely = of_contents || crash.has_few_lost();
            crash.was_answering_all(features) || (is_likely && crash.involves_all(features))
        })
    }

    /// Returns the targets whose crashes `features` are suspected of, for the log.
    pub(super) fn targets_lost_with(&self, features: &FeatureSet) -> Vec<TargetId> {
        let involved = self.crashes.iter().filter(|(_, crash)| crash.involves_all(features));
        involved.map(|(id, _)| id.target.clone()).collect()
    }

    /// Returns the time of the latest crash.
    pub(super) fn latest(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// Returns the number of crashes.
    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    fn evict(&mut self) {
        while self.crashes.len() > MAX_CRASHES
            || (self.crashes.len() > 1 && self.feature_count() > MAX_FEATURES)
        {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { return };
            if let Some(crash) = self.crashes.remove(&id) {
                self.count_features(&crash, false);
            }
        }
    }

    fn feature_count(&self) -> usize {
        self.crashes.values().map(Crash::feature_count).sum()
    }

    fn forget_old(&mut self, now: Instant) {
        let is_old = |crash: &Crash| now.saturating_duration_since(crash.at) >= CRASH_LIFETIME;
        let old: Vec<(CrashId, Crash)> =
            self.crashes.extract_if(.., |_, crash| is_old(crash)).collect();
        for (_, crash) in old {
            self.count_features(&crash, false);
        }
    }

    /// Adds the suspects of `crash` to the counts, or subtracts them.
    fn count_features(&mut self, crash: &Crash, added: bool) {
        for feature in crash.features() {
            let count = self.counts.entry(feature).or_default();
            *count = if added { *count + 1 } else { *count - 1 };
            if *count == 0 {
                self.counts.remove(&feature);
            }
        }
    }
}
