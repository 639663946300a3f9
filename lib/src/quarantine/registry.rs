//! Quarantine of an entry: what it knows, what it refuses and what it tells its peers.

use super::{
    AnswerNews, CrashId, CrashNews, HoldNews, News, PartSet, Refusal, RequestLoss, Version,
    answers::{Answer, AnswerLog},
    detection::MIN_OTHER_ANSWERS,
    evidence::{Crash, Evidence, extend_bounded},
    hold::{Closed, Hold, OnTrial},
};
use crate::{
    forward::Progress,
    ids::{PromptPartId, TargetId},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Instant,
};
use twox_hash::XxHash64;

/// Maximum number of holds; the oldest are released first.
pub(super) const MAX_HOLDS: usize = 256;

/// Parts that were quarantined, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Detection {
    /// Quarantined parts.
    pub parts: PartSet,
    /// Targets that crashed with requests that had these parts.
    pub targets: Vec<TargetId>,
    /// How often the parts have been quarantined, this time included.
    pub spell: u32,
}

/// Summary for state dumps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineSummary {
    /// Sets of parts with which no request is sent.
    pub held: BTreeSet<PartSet>,
    /// Sets of parts with which single requests are sent, to see whether they still crash targets.
    pub on_trial: BTreeSet<PartSet>,
    /// Number of crashes that are remembered.
    pub crashes: usize,
}

/// What one entry knows of the parts that crash targets.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Position of this entry in the order of trials, from 0 to 1, so that the entries do not try
    /// at the same time.
    spread: f64,
    version: Version,
    pub(super) answers: AnswerLog,
    /// Times of the last `MIN_OTHER_ANSWERS` answers that this entry has seen.
    pub(super) recent_answers: VecDeque<Instant>,
    pub(super) evidence: Evidence,
    held: BTreeMap<PartSet, Hold<Closed>>,
    on_trial: BTreeMap<PartSet, Hold<OnTrial>>,
}

impl Quarantine {
    /// Returns an empty quarantine of the entry `entry`.
    pub fn new(entry: &str) -> Self {
        Self {
            spread: XxHash64::oneshot(0, entry.as_bytes()) as f64 / u64::MAX as f64,
            version: 0,
            answers: AnswerLog::default(),
            recent_answers: VecDeque::new(),
            evidence: Evidence::default(),
            held: BTreeMap::new(),
            on_trial: BTreeMap::new(),
        }
    }

    /// Returns why a request with `parts` must not be sent at `now`, if that is so.
    pub fn refusal(&self, parts: &[PromptPartId], now: Instant) -> Option<Refusal> {
        let held = self.held.iter().map(|(set, hold)| (set, hold.remaining(now)));
        let on_trial = self.on_trial.iter().map(|(set, hold)| (set, hold.remaining(now)));
        let mut matching = held.chain(on_trial).filter(|(set, _)| contains(parts, set));
        let (set, remaining) = matching.find(|(_, remaining)| !remaining.is_zero())?;
        Some(Refusal { parts: set.clone(), remaining })
    }

    /// Records that a request with `parts` is sent at `now`, as a trial of the parts whose hold is
    /// over.
    ///
    /// # Errors
    ///
    /// Returns the parts with which no request may be sent if there are any.
    pub fn begin_send(&mut self, parts: &[PromptPartId], now: Instant) -> Result<(), Refusal> {
        self.refusal(parts, now).map_or(Ok(()), Err)?;
        let ended = self.held.extract_if(.., |set, _| contains(parts, set));
        self.on_trial.extend(ended.map(|(set, hold)| (set, hold.begin_trials())));
        for (_, hold) in self.on_trial.iter_mut().filter(|(set, _)| contains(parts, set)) {
            hold.begin_trial(now);
        }
        Ok(())
    }

    /// Returns whether a request with `parts` must not stay at its target.
    pub fn is_held(&self, parts: &[PromptPartId]) -> bool {
        self.held.keys().any(|set| contains(parts, set))
    }

    /// Records that a target has begun to send the answer to a request with `parts`, which shows
    /// that these do not crash it.
    pub fn record_answer(&mut self, parts: &[PromptPartId], now: Instant) {
        if parts.is_empty() {
            return;
        }
        self.recent_answers.push_back(now);
        if self.recent_answers.len() > MIN_OTHER_ANSWERS {
            self.recent_answers.pop_front();
        }
        for &part in parts {
            self.apply_answer(part, now);
        }
    }

    /// Records the loss of a request in the crash of its target at `at`, and returns the parts that
    /// are quarantined because of it.
    pub fn record_loss(&mut self, loss: RequestLoss, at: Instant, now: Instant) -> Vec<Detection> {
        let (mut begun, mut waiting) = (PartSet::new(), PartSet::new());
        match loss.progress {
            Progress::Begun => extend_bounded(&mut begun, loss.parts),
            Progress::Waiting => extend_bounded(&mut waiting, loss.parts),
            Progress::Streaming => return Vec::new(),
        }
        let version = self.version + 1;
        let crash = Crash { at, begun, waiting, version };
        if self.evidence.add(loss.crash.clone(), crash, now) {
            self.version = version;
        }
        let renewed = self.renew_holds(&loss.crash, now);
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
            waiting: crash.waiting.clone(),
        });
        let answers = self.answers.changed_since(version);
        let answers = answers.map(|(part, answer)| AnswerNews { part, age: age(answer.at) });
        let held = self.held.iter().map(|(set, hold)| (set, hold.since, hold.spell, hold.version));
        let on_trial =
            self.on_trial.iter().map(|(set, hold)| (set, hold.since, hold.spell, hold.version));
        let holds = held.chain(on_trial).filter(|(.., changed)| *changed > version);
        let holds = holds.map(|(set, since, spell, _)| HoldNews {
            parts: set.clone(),
            age: age(since),
            spell,
        });
        let news =
            News { crashes: crashes.collect(), answers: answers.collect(), holds: holds.collect() };
        (news, self.version)
    }

    /// Applies what a peer knows, and returns the parts that are quarantined because of it.
    pub fn merge(&mut self, news: News, now: Instant) -> Vec<Detection> {
        for AnswerNews { part, age } in news.answers {
            if let Some(at) = now.checked_sub(age) {
                self.apply_answer(part, at);
            }
        }
        for CrashNews { id, age, begun, waiting } in news.crashes {
            let Some(at) = now.checked_sub(age) else { continue };
            let version = self.version + 1;
            let mut crash = Crash { at, begun: PartSet::new(), waiting: PartSet::new(), version };
            extend_bounded(&mut crash.begun, begun);
            extend_bounded(&mut crash.waiting, waiting);
            if self.evidence.add(id, crash, now) {
                self.version = version;
            }
        }
        let mut detections = Vec::new();
        for HoldNews { mut parts, age, spell } in news.holds {
            let Some(since) = now.checked_sub(age) else { continue };
            parts.retain(|part| self.answers.last(*part).is_none_or(|at| at < since));
            if !parts.is_empty() && spell > self.spell(&parts) {
                detections.push(self.hold(parts, since, spell));
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

    /// Returns the number of sets of parts with which no request is sent.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Records an answer at `at`. Peers learn of it only if it clears the part of a crash or a hold.
    fn apply_answer(&mut self, part: PromptPartId, at: Instant) {
        let known = self.answers.get(part);
        if known.is_some_and(|known| known.at >= at) {
            return;
        }
        let released = self.clear(part, at);
        let clears = self.evidence.involves(part, known.map(|known| known.at), at);
        let mut version = known.map_or(0, |known| known.version);
        if released || clears {
            self.version += 1;
            version = self.version;
        }
        self.answers.insert(part, Answer { at, version });
    }

    /// Removes `part`, which was answered at `at`, from the holds that began before, and returns
    /// whether there were any.
    fn clear(&mut self, part: PromptPartId, at: Instant) -> bool {
        let held = self.held.extract_if(.., |set, hold| set.contains(&part) && hold.since < at);
        let mut held: Vec<_> = held.collect();
        let on_trial =
            self.on_trial.extract_if(.., |set, hold| set.contains(&part) && hold.since < at);
        let mut on_trial: Vec<_> = on_trial.collect();
        let sets = held.iter_mut().map(|(set, _)| set);
        for set in sets.chain(on_trial.iter_mut().map(|(set, _)| set)) {
            set.remove(&part);
        }
        let changed = !held.is_empty() || !on_trial.is_empty();
        self.held.extend(held.into_iter().filter(|(set, _)| !set.is_empty()));
        self.on_trial.extend(on_trial.into_iter().filter(|(set, _)| !set.is_empty()));
        changed
    }

    /// Holds again the parts on trial that were lost in the crash `id`.
    fn renew_holds(&mut self, id: &CrashId, now: Instant) -> Vec<Detection> {
        let begun = self.evidence.begun_parts(id);
        let involved = self.on_trial.keys().filter(|set| set.is_subset(&begun));
        let involved: Vec<PartSet> = involved.cloned().collect();
        let renew = |set: PartSet| {
            let spell = self.spell(&set) + 1;
            self.hold(set, now, spell)
        };
        involved.into_iter().map(renew).collect()
    }

    pub(super) fn hold(&mut self, set: PartSet, since: Instant, spell: u32) -> Detection {
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
        Detection { parts: set, targets, spell }
    }

    pub(super) fn holds(&self) -> impl Iterator<Item = &PartSet> {
        self.held.keys().chain(self.on_trial.keys())
    }

    /// Returns how often the parts of `set` have been held since they were last answered.
    fn spell(&self, set: &PartSet) -> u32 {
        let held = self.held.get(set).map(|hold| hold.spell);
        held.or_else(|| self.on_trial.get(set).map(|hold| hold.spell)).unwrap_or(0)
    }
}

/// Returns whether a request with `parts` has all parts of `set`.
fn contains(parts: &[PromptPartId], set: &PartSet) -> bool {
    set.iter().all(|part| parts.contains(part))
}
