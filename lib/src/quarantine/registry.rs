//! Quarantine of an entry: what it knows, what it refuses and what it tells its peers.

use super::{
    AnswerNews, AnswerStage, CrashId, CrashNews, Feature, FeatureSet, HoldNews, News, Refusal,
    RequestLoss, Version,
    answers::AnswerLog,
    crash::Crash,
    detection::MIN_OTHER_ANSWERS,
    evidence::Evidence,
    hold::{Closed, Hold, OnTrial},
};
use crate::ids::TargetId;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Instant,
};
use strum::IntoEnumIterator;
use twox_hash::XxHash64;

/// Maximum number of holds; the oldest are released first.
pub(super) const MAX_HOLDS: usize = 256;

/// Parts that were quarantined, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Detection {
    /// Quarantined features.
    pub features: FeatureSet,
    /// Targets that crashed with requests that had these features.
    pub targets: Vec<TargetId>,
    /// How often the features have been quarantined, this time included.
    pub spell: u32,
}

/// Summary for state dumps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineSummary {
    /// Sets of features with which no request is sent.
    pub held: BTreeSet<FeatureSet>,
    /// Sets of features with which single requests are sent, to see whether they still crash
    /// targets.
    pub on_trial: BTreeSet<FeatureSet>,
    /// Number of crashes that are remembered.
    pub crashes: usize,
}

/// What one entry knows of the features that crash targets.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Position of this entry in the order of trials, from 0 to 1, so that the entries do not try
    /// at the same time.
    spread: f64,
    version: Version,
    first_events: AnswerLog,
    sustained: AnswerLog,
    /// Times of the last `MIN_OTHER_ANSWERS` answers that this entry has seen.
    pub(super) recent_answers: VecDeque<Instant>,
    pub(super) evidence: Evidence,
    held: BTreeMap<FeatureSet, Hold<Closed>>,
    on_trial: BTreeMap<FeatureSet, Hold<OnTrial>>,
}

impl Quarantine {
    /// Returns an empty quarantine of the entry `entry`.
    pub fn new(entry: &str) -> Self {
        Self {
            spread: XxHash64::oneshot(0, entry.as_bytes()) as f64 / u64::MAX as f64,
            version: 0,
            first_events: AnswerLog::default(),
            sustained: AnswerLog::default(),
            recent_answers: VecDeque::new(),
            evidence: Evidence::default(),
            held: BTreeMap::new(),
            on_trial: BTreeMap::new(),
        }
    }

    /// Returns why a request with `features` must not be sent at `now`, if that is so.
    pub fn refusal(&self, features: &FeatureSet, now: Instant) -> Option<Refusal> {
        let held = self.held.iter().map(|(set, hold)| (set, hold.remaining(now)));
        let on_trial = self.on_trial.iter().map(|(set, hold)| (set, hold.remaining(now)));
        let mut matching = held.chain(on_trial).filter(|(set, _)| set.is_subset(features));
        let (set, remaining) = matching.find(|(_, remaining)| !remaining.is_zero())?;
        Some(Refusal { features: set.clone(), remaining })
    }

    /// Records that a request with `features` is sent at `now`, as a trial of the features whose
    /// hold is over.
    ///
    /// # Errors
    ///
    /// Returns the features with which no request may be sent if there are any.
    pub fn begin_send(&mut self, features: &FeatureSet, now: Instant) -> Result<(), Refusal> {
        self.refusal(features, now).map_or(Ok(()), Err)?;
        let ended = self.held.extract_if(.., |set, _| set.is_subset(features));
        self.on_trial.extend(ended.map(|(set, hold)| (set, hold.begin_trials())));
        for (_, hold) in self.on_trial.iter_mut().filter(|(set, _)| set.is_subset(features)) {
            hold.begin_trial(now);
        }
        Ok(())
    }

    /// Returns whether a request with `features` must not stay at its target.
    pub fn is_held(&self, features: &FeatureSet) -> bool {
        self.held.keys().any(|set| set.is_subset(features))
    }

    /// Records that the answer to a request with `features` has reached `stage`, which shows that
    /// these do not crash its target.
    pub fn record_stage(&mut self, stage: AnswerStage, features: &FeatureSet, now: Instant) {
        if features.is_empty() {
            return;
        }
        if stage == AnswerStage::Sustained {
            self.recent_answers.push_back(now);
            if self.recent_answers.len() > MIN_OTHER_ANSWERS {
                self.recent_answers.pop_front();
            }
        }
        for &feature in features {
            self.apply_stage(feature, stage, now);
        }
    }

    /// Records requests that were lost in crashes of their targets, each with the time of its loss,
    /// and returns the features that are quarantined because of them.
    pub fn record_losses(
        &mut self,
        losses: Vec<(RequestLoss, Instant)>,
        now: Instant,
    ) -> Vec<Detection> {
        let mut renewed = Vec::new();
        for (RequestLoss { crash: id, progress, features }, at) in losses {
            let mut crash = Crash::new(at, self.version + 1);
            crash.add_loss(progress, features);
            self.add_crash(id.clone(), crash, now);
            renewed.extend(self.renew_holds(&id, now));
        }
        let mut detections = self.detect(now);
        detections.extend(renewed);
        detections
    }

    /// Returns what changed after `version`, and the present version.
    pub fn news_since(&self, version: Version, now: Instant) -> (News, Version) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let crashes = self.evidence.changed_since(version).map(|(id, crash)| CrashNews {
            id: id.clone(),
            age: age(crash.at),
            begun: crash.begun.clone(),
            started: crash.started.clone(),
            waiting: crash.waiting.clone(),
            had_begun: crash.had_begun,
            lost: crash.lost.clone(),
        });
        let answers = AnswerStage::iter().flat_map(|stage| {
            let changed = self.log(stage).changed_since(version);
            changed.map(move |(feature, at)| AnswerNews { feature, stage, age: age(at) })
        });
        let held = self.held.iter().map(|(set, hold)| (set, hold.since, hold.spell, hold.version));
        let on_trial =
            self.on_trial.iter().map(|(set, hold)| (set, hold.since, hold.spell, hold.version));
        let holds = held.chain(on_trial).filter(|(.., changed)| *changed > version);
        let holds = holds.map(|(set, since, spell, _)| HoldNews {
            features: set.clone(),
            age: age(since),
            spell,
        });
        let news =
            News { crashes: crashes.collect(), answers: answers.collect(), holds: holds.collect() };
        (news, self.version)
    }

    /// Applies what a peer knows, and returns the features that are quarantined because of it.
    pub fn merge(&mut self, news: News, now: Instant) -> Vec<Detection> {
        for AnswerNews { feature, stage, age } in news.answers {
            if let Some(at) = now.checked_sub(age) {
                self.apply_stage(feature, stage, at);
            }
        }
        for CrashNews { id, age, begun, started, waiting, had_begun, lost } in news.crashes {
            let Some(at) = now.checked_sub(age) else { continue };
            let version = self.version + 1;
            self.add_crash(
                id,
                Crash { at, begun, started, waiting, had_begun, lost, version },
                now,
            );
        }
        let mut detections = Vec::new();
        for HoldNews { mut features, age, spell } in news.holds {
            let Some(since) = now.checked_sub(age) else { continue };
            features.retain(|feature| self.sustained.last(*feature).is_none_or(|at| at < since));
            if !features.is_empty() && spell > self.spell(&features) {
                detections.push(self.hold(features, since, spell));
            }
        }
        detections.extend(self.detect(now));
        detections
    }

    /// Returns a summary for state dumps.
    pub fn summary(&self) -> QuarantineSummary {
        QuarantineSummary {
            held: self.held.keys().cloned().collect(),
            on_trial: self.on_trial.keys().cloned().collect(),
            crashes: self.evidence.len(),
        }
    }

    /// Returns the number of sets of features with which no request is sent.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Returns the last answers that have reached `stage`.
    pub(super) fn log(&self, stage: AnswerStage) -> &AnswerLog {
        match stage {
            AnswerStage::FirstEvent => &self.first_events,
            AnswerStage::Sustained => &self.sustained,
        }
    }

    fn log_mut(&mut self, stage: AnswerStage) -> &mut AnswerLog {
        match stage {
            AnswerStage::FirstEvent => &mut self.first_events,
            AnswerStage::Sustained => &mut self.sustained,
        }
    }

    /// Records that an answer reached `stage` at `at`. Peers learn of it only if it clears the
    /// feature of a crash or a hold.
    fn apply_stage(&mut self, feature: Feature, stage: AnswerStage, at: Instant) {
        if self.log(stage).last(feature).is_some_and(|known| known >= at) {
            return;
        }
        self.log_mut(stage).insert(feature, at);
        let released = stage == AnswerStage::Sustained && self.release(feature, at);
        let cleared = self.evidence.clear(feature, stage, at);
        if released || cleared {
            self.publish_stage(feature, stage);
        }
    }

    fn publish_stage(&mut self, feature: Feature, stage: AnswerStage) {
        self.version += 1;
        let version = self.version;
        self.log_mut(stage).publish(feature, version);
    }

    /// Adds what is known of a crash, without the features that were answered after it. Those who
    /// reported the crash may not know of these answers.
    fn add_crash(&mut self, id: CrashId, mut crash: Crash, now: Instant) {
        let at = self.evidence.crash_time(&id, crash.at);
        for stage in AnswerStage::iter() {
            let is_alive =
                |feature: &Feature| self.log(stage).last(*feature).is_some_and(|it| it >= at);
            let alive: Vec<Feature> = crash.features().filter(is_alive).collect();
            for feature in alive.into_iter().filter(|feature| crash.clear(*feature, stage)) {
                self.publish_stage(feature, stage);
            }
        }
        let version = self.version + 1;
        if self.evidence.add(id, Crash { version, ..crash }, now) {
            self.version = version;
        }
    }

    /// Removes `feature`, which was answered at `at`, from the holds that began before, and returns
    /// whether there were any.
    fn release(&mut self, feature: Feature, at: Instant) -> bool {
        let held = self.held.extract_if(.., |set, hold| set.contains(&feature) && hold.since < at);
        let mut held: Vec<_> = held.collect();
        let on_trial =
            self.on_trial.extract_if(.., |set, hold| set.contains(&feature) && hold.since < at);
        let mut on_trial: Vec<_> = on_trial.collect();
        let sets = held.iter_mut().map(|(set, _)| set);
        for set in sets.chain(on_trial.iter_mut().map(|(set, _)| set)) {
            set.remove(&feature);
        }
        let changed = !held.is_empty() || !on_trial.is_empty();
        self.held.extend(held.into_iter().filter(|(set, _)| !set.is_empty()));
        self.on_trial.extend(on_trial.into_iter().filter(|(set, _)| !set.is_empty()));
        changed
    }

    /// Holds again the features on trial that were lost in the crash `id`.
    fn renew_holds(&mut self, id: &CrashId, now: Instant) -> Vec<Detection> {
        let is_involved = |set: &&FeatureSet| self.evidence.was_caused_by(id, set);
        let involved = self.on_trial.keys().filter(is_involved);
        let involved: Vec<FeatureSet> = involved.cloned().collect();
        let renew = |set: FeatureSet| {
            let spell = self.spell(&set) + 1;
            self.hold(set, now, spell)
        };
        involved.into_iter().map(renew).collect()
    }

    pub(super) fn hold(&mut self, set: FeatureSet, since: Instant, spell: u32) -> Detection {
        self.version += 1;
        self.on_trial.remove(&set);
        let targets = self.evidence.targets_lost_with(&set);
        self.held.insert(set.clone(), Hold::new(since, spell, self.spread, self.version));
        if self.held.len() > MAX_HOLDS {
            let oldest = self.held.iter().min_by_key(|(_, hold)| hold.since);
            if let Some(oldest) = oldest.map(|(set, _)| set.clone()) {
                self.held.remove(&oldest);
            }
        }
        Detection { features: set, targets, spell }
    }

    pub(super) fn holds(&self) -> impl Iterator<Item = &FeatureSet> {
        self.held.keys().chain(self.on_trial.keys())
    }

    /// Returns how often the features of `set` have been held since they were last answered.
    fn spell(&self, set: &FeatureSet) -> u32 {
        let held = self.held.get(set).map(|hold| hold.spell);
        held.or_else(|| self.on_trial.get(set).map(|hold| hold.spell)).unwrap_or(0)
    }
}
