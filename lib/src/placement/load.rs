//! Work in flight at a target.

use super::Need;
use crate::{
    ids::{TargetId, Tokens},
    routes::EngineModel,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Number of a piece of work of one entry.
pub type WorkId = u64;

/// One request at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Prompt that the target reads, in tokens.
    pub prompt: Tokens,
    /// Expected output, in tokens.
    pub output: Tokens,
    /// Time to read the prompt on an idle engine, in ms; 0 at an application.
    pub read_ms: f64,
    /// Longest pause between two events that earns full credit, in ms.
    pub gap_ms: f64,
    /// Time at which it was sent.
    pub since: Instant,
    /// What the target does.
    pub stage: Stage,
}

/// What a target does for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It reads a part of the prompt for another target.
    Helping,
    /// It reads the prompt or will.
    Reading,
    /// It sends events.
    Writing,
}

impl Work {
    /// Returns the work of a request that is sent to a target at `now`, with `read_ms` of
    /// reading there.
    pub fn new(need: &Need, read_ms: f64, now: Instant) -> Self {
        let gap_ms = need.gap.as_secs_f64() * 1e3;
        let (prompt, output) = (need.prompt, need.output);
        Self { prompt, output, read_ms, gap_ms, since: now, stage: Stage::Reading }
    }

    /// Returns the work of a target where others hold `tokens` of the prompt.
    pub fn without(self, tokens: Tokens) -> Self {
        Self { prompt: self.prompt.saturating_sub(tokens), ..self }
    }

    /// Returns the work of a target that reads a part of the prompt and holds `tokens` of it.
    pub fn holding(need: &Need, tokens: Tokens, read_ms: f64, now: Instant) -> Self {
        Self { prompt: tokens, output: 0, ..Self::new(need, read_ms, now) }
    }

    /// Returns the work of a target that reads a part of the prompt in `read_ms`.
    pub fn helping(need: &Need, read_ms: f64, now: Instant) -> Self {
        Self { prompt: 0, output: 0, stage: Stage::Helping, ..Self::new(need, read_ms, now) }
    }
}

/// Sum of the work in flight at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Requests.
    pub requests: u32,
    /// Requests whose first event is here.
    pub writing: u32,
    /// Time to read the prompts that wait, in ms.
    pub read_ms: f32,
    /// Prompts and expected outputs of all requests, in tokens.
    pub memory: Tokens,
    /// Requests that tolerate only short pauses.
    pub short: u32,
}

/// Pauses up to this bound count as short, in ms: about six passes of an engine without reading.
const SHORT_GAP_MS: f64 = 400.0;

/// Returns whether a request tolerates only short pauses of `gap_ms`.
pub(super) fn is_short(gap_ms: f64) -> bool {
    gap_ms <= SHORT_GAP_MS
}

impl TargetLoad {
    /// Returns whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.requests == 0 && self.read_ms < CLOSE_MS
    }

    /// Adds the load of another entry.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.writing += other.writing;
        self.read_ms += other.read_ms;
        self.memory += other.memory;
        self.short += other.short;
    }

    fn is_close(&self, other: &Self) -> bool {
        let Self { requests, writing, read_ms, memory, short } = *self;
        (read_ms - other.read_ms).abs() < CLOSE_MS
            && (requests, writing, memory, short)
                == (other.requests, other.writing, other.memory, other.short)
    }
}

/// Difference in reading time, in ms, that is not worth a message.
const CLOSE_MS: f32 = 20.0;

/// What changed in the loads of an entry since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadChanges {
    /// Whether targets that are not named are without work.
    pub whole: bool,
    /// New loads.
    pub busy: BTreeMap<TargetId, TargetLoad>,
    /// Targets that are without work now.
    pub idle: BTreeSet<TargetId>,
}

impl LoadChanges {
    /// Returns what `loads` changes for a receiver that knows `known`; none if it knows nothing.
    pub fn between(
        known: Option<&BTreeMap<TargetId, TargetLoad>>,
        loads: &BTreeMap<TargetId, TargetLoad>,
    ) -> Self {
        let Some(known) = known else {
            return Self { whole: true, busy: loads.clone(), idle: BTreeSet::new() };
        };
        let changed =
            loads.iter().filter(|(id, load)| !known.get(*id).is_some_and(|k| k.is_close(load)));
        let busy = changed.map(|(id, load)| (id.clone(), *load)).collect();
        let idle = known.keys().filter(|id| !loads.contains_key(*id)).cloned().collect();
        Self { whole: false, busy, idle }
    }

    /// Applies the changes to what a receiver knows.
    pub fn apply(&self, known: &mut BTreeMap<TargetId, TargetLoad>) {
        if self.whole {
            known.clear();
        }
        known.retain(|id, _| !self.idle.contains(id));
        known.extend(self.busy.iter().map(|(id, load)| (id.clone(), *load)));
    }
}

/// The work that one entry has in flight at one target.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct InFlight {
    works: BTreeMap<WorkId, Work>,
}

impl InFlight {
    pub(super) fn insert(&mut self, id: WorkId, work: Work) {
        self.works.insert(id, work);
    }

    pub(super) fn remove(&mut self, id: WorkId) -> bool {
        self.works.remove(&id).is_some()
    }

    pub(super) fn first_event(&mut self, id: WorkId) {
        if let Some(work) = self.works.get_mut(&id) {
            work.stage = Stage::Writing;
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.works.is_empty()
    }

    /// Returns the sum; the oldest prompt is taken to be read first.
    pub(super) fn sum(&self, now: Instant) -> TargetLoad {
        let mut load = TargetLoad::default();
        let mut oldest = Duration::ZERO;
        for work in self.works.values() {
            if work.stage != Stage::Helping {
                load.requests += 1;
                load.memory += work.prompt + work.output;
                load.short += u32::from(is_short(work.gap_ms));
            }
            if work.stage == Stage::Writing {
                load.writing += 1;
            } else {
                load.read_ms += work.read_ms as f32;
                oldest = oldest.max(now.saturating_duration_since(work.since));
            }
        }
        let progress = oldest.as_secs_f32() * 1e3;
        // Some of the time went to the steps of those that write; half of it is a safe estimate.
        load.read_ms = (load.read_ms - progress / 2.0).max(load.read_ms / 4.0);
        load
    }
}

/// Returns the time of a pass with the load's writing requests and no reading, in ms.
pub(super) fn pass_ms(load: &TargetLoad, engine: &EngineModel) -> f64 {
    if load.writing == 0 {
        return engine.step_ms;
    }
    f64::from(engine.stride) * engine.step_time(load.writing, load.memory)
}
