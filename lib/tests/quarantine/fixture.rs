//! Entries with a quarantine, and the crashes that they see.

use fulmarhead_lib::{
    clock::Clock,
    forward::Progress,
    ids::PromptPartId,
    quarantine::{AnswerStage, CrashId, Feature, FeatureSet, Quarantine, RequestLoss, Version},
};
use std::time::Duration;
use testutils::ManualClock;

/// Part that all requests of a route share.
pub(crate) const FIRST: PromptPartId = 0xf1;

/// Part that crashes targets.
pub(crate) const CRASHING: PromptPartId = 0xdead;

/// Another part that crashes targets.
pub(crate) const CRASHING_TOO: PromptPartId = 0xdeae;

/// Part of sound requests.
pub(crate) const SOUND: PromptPartId = 0x50;

/// Interval between crashes, longer than the time within which two count as one.
pub(crate) const INTERVAL: Duration = Duration::from_millis(80);

/// Time after which a part without an answer can be suspected.
pub(crate) const SILENCE: Duration = Duration::from_secs(2);

/// Entries that exchange what they know when the test says so.
pub(crate) struct Fixture {
    pub(crate) clock: ManualClock,
    pub(crate) entries: Vec<Quarantine>,
    /// Versions that entry `from` has sent to entry `to`, by `[from][to]`.
    sent: Vec<Vec<Version>>,
    crashes: usize,
}

pub(crate) fn part_set(parts: &[PromptPartId]) -> FeatureSet {
    parts.iter().copied().map(Feature::Part).collect()
}

impl Fixture {
    /// Returns `count` entries that know nothing.
    pub(crate) fn new(count: usize) -> Self {
        let entries = (0..count).map(|number| Quarantine::new(&format!("entry-{number}")));
        Self {
            clock: ManualClock::default(),
            entries: entries.collect(),
            sent: vec![vec![0; count]; count],
            crashes: 0,
        }
    }

    /// Crashes a new target as it begins to answer a request with `parts` of `entry`.
    pub(crate) fn crash(&mut self, entry: usize, parts: &[PromptPartId]) {
        self.crashes += 1;
        self.crash_of(self.crashes, entry, Progress::Begun, parts);
    }

    /// Records that `entry` lost a request with `parts` in the crash of target `number`.
    pub(crate) fn crash_of(
        &mut self,
        number: usize,
        entry: usize,
        progress: Progress,
        parts: &[PromptPartId],
    ) {
        self.lose_of(number, entry, progress, &part_set(parts));
    }

    /// Records that `entry` lost a request with `features` in the crash of target `number`.
    pub(crate) fn lose_of(
        &mut self,
        number: usize,
        entry: usize,
        progress: Progress,
        features: &FeatureSet,
    ) {
        let crash = CrashId { target: format!("t{number}"), started_at: None };
        let loss = RequestLoss { crash, progress, features: features.clone() };
        let now = self.clock.now();
        self.entries[entry].record_losses(vec![(loss, now)], now);
    }

    /// Records that `entry` lost a request with `features` in the crash of a new target.
    pub(crate) fn lose(&mut self, entry: usize, progress: Progress, features: &FeatureSet) {
        self.crashes += 1;
        self.lose_at_same_target(entry, progress, features);
    }

    /// Records that `entry` lost another request in the last crash.
    pub(crate) fn lose_at_same_target(
        &mut self,
        entry: usize,
        progress: Progress,
        features: &FeatureSet,
    ) {
        self.lose_of(self.crashes, entry, progress, features);
    }

    /// Records that a request with `features` was answered at `entry`.
    pub(crate) fn answer_to(&mut self, entry: usize, features: &FeatureSet) {
        let now = self.clock.now();
        for stage in [AnswerStage::FirstEvent, AnswerStage::Sustained] {
            self.entries[entry].record_stage(stage, features, now);
        }
    }

    /// Returns whether `entry` would send a request with `features`.
    pub(crate) fn sends(&self, entry: usize, features: &FeatureSet) -> bool {
        self.entries[entry].refusal(features, self.clock.now()).is_none()
    }

    /// Records that a request with `parts` was answered at `entry`.
    pub(crate) fn answer(&mut self, entry: usize, parts: &[PromptPartId]) {
        self.reach(entry, AnswerStage::FirstEvent, parts);
        self.reach(entry, AnswerStage::Sustained, parts);
    }

    /// Records that an answer to a request with `parts` at `entry`.
    pub(crate) fn reach(&mut self, entry: usize, stage: AnswerStage, parts: &[PromptPartId]) {
        self.entries[entry].record_stage(stage, &part_set(parts), self.clock.now());
    }

    /// Returns whether `entry` would send a request with `parts`.
    pub(crate) fn allows(&self, entry: usize, parts: &[PromptPartId]) -> bool {
        self.entries[entry].refusal(&part_set(parts), self.clock.now()).is_none()
    }

    /// Sends what entry `from` knows to entry `to`, as differences.
    pub(crate) fn send(&mut self, from: usize, to: usize) {
        let now = self.clock.now();
        let (news, version) = self.entries[from].news_since(self.sent[from][to], now);
        self.sent[from][to] = version;
        self.entries[to].merge(news, now);
    }

    /// Exchanges between all pairs of entries until no entry has anything to tell, and returns the
    /// number of messages that were not empty.
    pub(crate) fn exchange_all(&mut self) -> usize {
        let mut messages = 0;
        loop {
            let mut sent = 0;
            for from in 0..self.entries.len() {
                for to in (0..self.entries.len()).filter(|to| *to != from) {
                    let (news, _) =
                        self.entries[from].news_since(self.sent[from][to], self.clock.now());
                    sent += usize::from(!news.is_empty());
                    self.send(from, to);
                }
            }
            if sent == 0 {
                return messages;
            }
            messages += sent;
            assert!(messages < 1_000, "the entries never stop telling each other the same");
        }
    }
}
