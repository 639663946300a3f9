//! Crashes of targets, and the requests that were lost in them.

use super::{PartSet, Version};
use crate::{
    forward::Progress,
    ids::{PromptPartId, TargetId},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant, SystemTime},
};

/// Time for which a crash is remembered, so that requests that come a minute apart are recognized.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of remembered crashes; the oldest are forgotten first.
const MAX_CRASHES: usize = 128;

/// Maximum number of parts that are recorded for one crash.
const MAX_SUSPECTS: usize = 64;

/// Minimum time between two crashes for both to count. Targets that crash together have a common
/// cause, such as a power failure, of which many requests with a common part are victims.
const MIN_SPACING: Duration = Duration::from_millis(50);

/// Time after which a crash counts in which no answer had begun. Until then, another entry may
/// report that one had.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Weight of a crash for a part of a request whose answer had begun.
pub(super) const BEGUN_WEIGHT: u32 = 2;

/// Weight of a crash in which no answer had begun, for a part of a request that waited.
const WAITING_WEIGHT: u32 = 1;

/// One run of a target, which ended in a crash. Restarted targets can keep their identifier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// Target that crashed.
    pub target: TargetId,
    /// Start time of the target, if the list of targets has it.
    pub started_at: Option<SystemTime>,
}

/// A request whose target crashed before it sent any event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLoss {
    /// Run of the target.
    pub crash: CrashId,
    /// How much of the answer had arrived.
    pub progress: Progress,
    /// Parts of the prompt.
    pub parts: Vec<PromptPartId>,
}

/// What is known about one crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) at: Instant,
    /// Parts of requests whose answers had begun.
    pub(super) begun: PartSet,
    /// Parts of requests of which no answer had begun.
    pub(super) waiting: PartSet,
    pub(super) version: Version,
}

impl Crash {
    /// Returns the parts that may have caused the crash, with the weight of this evidence.
    ///
    /// Requests that waited are suspects only if no answer had begun, since a target is more likely
    /// to crash at the request that it begins to answer.
    pub(super) fn suspects(&self, now: Instant) -> (&PartSet, u32) {
        if !self.begun.is_empty() {
            return (&self.begun, BEGUN_WEIGHT);
        }
        let settled = now.saturating_duration_since(self.at) >= SETTLING_TIME;
        (&self.waiting, if settled { WAITING_WEIGHT } else { 0 })
    }

    /// Returns whether a request with `part` was lost before any of its answer had arrived.
    pub(super) fn involves(&self, part: PromptPartId) -> bool {
        self.begun.contains(&part) || self.waiting.contains(&part)
    }
}

/// Evidence that a part crashes targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Suspicion {
    /// Sum of the weights of the crashes that count.
    pub(super) weight: u32,
    /// Time of the first crash.
    pub(super) first_at: Instant,
    last_counted: Option<Instant>,
    /// Parts that are suspected of every crash that this part is suspected of, itself included.
    pub(super) companions: PartSet,
}

impl Suspicion {
    fn new(first_at: Instant) -> Self {
        Self { weight: 0, first_at, last_counted: None, companions: PartSet::new() }
    }

    fn add(&mut self, at: Instant, weight: u32, suspects: &PartSet) {
        match self.last_counted {
            None => self.companions = suspects.clone(),
            Some(_) => self.companions.retain(|part| suspects.contains(part)),
        }
        let is_near =
            self.last_counted.is_some_and(|last| at.saturating_duration_since(last) < MIN_SPACING);
        if !is_near {
            self.weight += weight;
            self.last_counted = Some(at);
        }
    }
}

/// The crashes that are remembered.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    crashes: BTreeMap<CrashId, Crash>,
}

impl Evidence {
    /// Adds what is known about a crash, and returns whether that is new. A crash that two entries
    /// have seen happened at the earlier of their times.
    pub(super) fn add(&mut self, id: CrashId, crash: Crash, now: Instant) -> bool {
        self.crashes.retain(|_, crash| now.saturating_duration_since(crash.at) < CRASH_LIFETIME);
        let Some(known) = self.crashes.get_mut(&id) else {
            self.crashes.insert(id, crash);
            self.evict();
            return true;
        };
        known.at = known.at.min(crash.at);
        let before = known.begun.len() + known.waiting.len();
        extend_bounded(&mut known.begun, crash.begun);
        extend_bounded(&mut known.waiting, crash.waiting);
        let changed = known.begun.len() + known.waiting.len() > before;
        if changed {
            known.version = crash.version;
        }
        changed
    }

    /// Returns the crashes about which something was learned after `version`.
    pub(super) fn changed_since(
        &self,
        version: Version,
    ) -> impl Iterator<Item = (&CrashId, &Crash)> {
        self.crashes.iter().filter(move |(_, crash)| crash.version > version)
    }

    /// Returns whether a request with `part` was lost in a crash after `from` and before `to`.
    pub(super) fn involves(&self, part: PromptPartId, from: Option<Instant>, to: Instant) -> bool {
        let between = |crash: &&Crash| from.is_none_or(|from| crash.at > from) && crash.at < to;
        self.crashes.values().filter(between).any(|crash| crash.involves(part))
    }

    /// Returns the suspicion of each part, from the crashes after the last answer to a request with
    /// that part, as `last_answer` returns it. A crash does not count for a part if `is_explained`
    /// says that others caused it.
    pub(super) fn suspicions(
        &self,
        last_answer: impl Fn(PromptPartId) -> Option<Instant>,
        is_explained: impl Fn(&PartSet, PromptPartId) -> bool,
        now: Instant,
    ) -> BTreeMap<PromptPartId, Suspicion> {
        let mut crashes: Vec<&Crash> = self.crashes.values().collect();
        crashes.sort_by_key(|crash| crash.at);
        let mut suspicions: BTreeMap<PromptPartId, Suspicion> = BTreeMap::new();
        for crash in crashes {
            let (parts, weight) = crash.suspects(now);
            for &part in parts.iter().filter(|_| weight > 0) {
                let answered = last_answer(part).is_some_and(|at| at >= crash.at);
                if answered || is_explained(parts, part) {
                    continue;
                }
                let entry = suspicions.entry(part).or_insert_with(|| Suspicion::new(crash.at));
                entry.add(crash.at, weight, parts);
            }
        }
        suspicions
    }

    /// Returns the weight of the crashes since `since` for a part that is suspected of all of them.
    pub(super) fn weight_since(&self, since: Instant) -> u32 {
        let recent = self.crashes.values().map(|crash| crash.at).filter(|at| *at >= since);
        let times: BTreeSet<Instant> = recent.collect();
        let mut count = 0;
        let mut last: Option<Instant> = None;
        for at in times {
            if last.is_none_or(|last| at.saturating_duration_since(last) >= MIN_SPACING) {
                (count, last) = (count + 1, Some(at));
            }
        }
        count * BEGUN_WEIGHT
    }

    /// Returns the parts of requests whose answers had begun in the crash `id`.
    pub(super) fn begun_parts(&self, id: &CrashId) -> PartSet {
        self.crashes.get(id).map(|crash| crash.begun.clone()).unwrap_or_default()
    }

    /// Returns the targets whose crashes `parts` are suspected of, for the log.
    pub(super) fn targets_lost_with(&self, parts: &PartSet) -> Vec<TargetId> {
        let involved = self
            .crashes
            .iter()
            .filter(|(_, crash)| parts.is_subset(&crash.begun) || parts.is_subset(&crash.waiting));
        involved.map(|(id, _)| id.target.clone()).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    fn evict(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.crashes.remove(&id);
        }
    }
}

/// Adds the parts of `new` to `parts` up to `MAX_SUSPECTS`.
pub(super) fn extend_bounded(parts: &mut PartSet, new: impl IntoIterator<Item = PromptPartId>) {
    for part in new {
        if parts.len() >= MAX_SUSPECTS {
            return;
        }
        parts.insert(part);
    }
}
