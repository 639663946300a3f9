//! Load of a target, computed from the work in flight there.

use super::RequestProfile;
use crate::{
    ids::{TargetId, Tokens},
    routes::EngineModel,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Identifier of a piece of work, unique within one entry.
pub type WorkId = u64;

/// Work that one request causes at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Prompt tokens whose KV cache the target holds.
    pub prompt_tokens: Tokens,
    /// Expected number of output tokens.
    pub output_tokens: Tokens,
    /// Prefill time on an idle engine, in ms; 0 at an application.
    pub prefill_ms: f64,
    /// Longest acceptable gap between two events, in ms.
    pub max_gap_ms: f64,
    /// Time at which the request was sent to the target.
    pub sent_at: Instant,
    /// Current stage of the work.
    pub stage: Stage,
}

/// Stage of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The target prefills a part of the prompt for another target and holds none of its KV cache.
    HelperPrefill,
    /// The prompt, or the part of it that the target holds, is being prefilled or waits for it.
    Prefill,
    /// The target sends events.
    Decode,
}

impl Work {
    /// Returns the work of a request that is sent to a target at `now` and needs `prefill_ms` of
    /// prefill there.
    pub fn new(profile: &RequestProfile, prefill_ms: f64, now: Instant) -> Self {
        let max_gap_ms = profile.max_gap.as_secs_f64() * 1e3;
        let (prompt_tokens, output_tokens) = (profile.prompt_tokens, profile.output_tokens);
        Self {
            prompt_tokens,
            output_tokens,
            prefill_ms,
            max_gap_ms,
            sent_at: now,
            stage: Stage::Prefill,
        }
    }

    /// Returns the work without the `tokens` of the prompt whose KV cache other targets hold.
    pub fn excluding_tokens(self, tokens: Tokens) -> Self {
        Self { prompt_tokens: self.prompt_tokens.saturating_sub(tokens), ..self }
    }

    /// Returns the work of a helper that prefills a part of the prompt and holds the KV cache of
    /// `tokens`.
    pub fn for_holder(
        profile: &RequestProfile,
        tokens: Tokens,
        prefill_ms: f64,
        now: Instant,
    ) -> Self {
        Self { prompt_tokens: tokens, output_tokens: 0, ..Self::new(profile, prefill_ms, now) }
    }

    /// Returns the work of a helper that prefills a part of the prompt in `prefill_ms` and holds no
    /// KV cache.
    pub fn for_helper(profile: &RequestProfile, prefill_ms: f64, now: Instant) -> Self {
        Self {
            prompt_tokens: 0,
            output_tokens: 0,
            stage: Stage::HelperPrefill,
            ..Self::new(profile, prefill_ms, now)
        }
    }
}

impl Work {
    /// Returns whether the work is a prompt of a request that tolerates only short gaps.
    pub(super) fn is_latency_sensitive(&self) -> bool {
        self.prefill_ms > 0.0 && is_latency_sensitive(self.max_gap_ms)
    }
}

/// Total load of the work in flight at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Number of requests, including those for which the target holds a part of the KV cache for
    /// another target, but not those for which it only prefills.
    pub requests: u32,
    /// Number of requests whose first event has arrived.
    #[serde(rename = "writing")]
    pub decoding: u32,
    /// Remaining prefill time of the prompts in the queue, in ms.
    #[serde(rename = "read_ms")]
    pub prefill_ms: f32,
    /// KV cache for prompts and expected outputs of all requests, in tokens.
    #[serde(rename = "memory")]
    pub kv_tokens: Tokens,
    /// Number of those requests that tolerate only short gaps between events.
    #[serde(rename = "short")]
    pub latency_sensitive: u32,
    /// Shortest gap that one of those requests tolerates, in ms; 0 without requests.
    #[serde(rename = "gap", default)]
    pub min_gap_ms: f32,
}

/// Longest gap that counts as short, in ms: about six passes of an engine without prefill.
const SHORT_GAP_MS: f64 = 400.0;

/// Returns whether a request that tolerates gaps of `max_gap_ms` is latency-sensitive.
pub(super) fn is_latency_sensitive(max_gap_ms: f64) -> bool {
    max_gap_ms <= SHORT_GAP_MS
}

impl TargetLoad {
    /// Returns whether the target has no requests and almost no prefill.
    pub fn is_idle(&self) -> bool {
        self.requests == 0 && self.prefill_ms < PREFILL_TOLERANCE_MS
    }

    /// Adds the load that another entry causes at the same target.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.decoding += other.decoding;
        self.prefill_ms += other.prefill_ms;
        self.kv_tokens += other.kv_tokens;
        self.latency_sensitive += other.latency_sensitive;
        self.add_gap(other.min_gap_ms);
    }

    fn add_gap(&mut self, gap_ms: f32) {
        self.min_gap_ms = match (self.min_gap_ms, gap_ms) {
            (0.0, gap) | (gap, 0.0) => gap,
            (a, b) => a.min(b),
        };
    }

    fn is_similar(&self, other: &Self) -> bool {
        (self.prefill_ms - other.prefill_ms).abs() < PREFILL_TOLERANCE_MS
            && Self { prefill_ms: other.prefill_ms, ..*self } == *other
    }
}

/// Prefill time that is negligible, in ms: smaller differences are not reported again, and a target
/// with less prefill counts as idle.
pub(super) const PREFILL_TOLERANCE_MS: f32 = 20.0;

/// Changes in the loads of an entry since its last report to a peer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadDelta {
    /// Whether this is a full report, in which targets that are not listed are idle.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Loads that are new or have changed.
    pub busy: BTreeMap<TargetId, TargetLoad>,
    /// Targets that have become idle.
    pub idle: BTreeSet<TargetId>,
}

impl LoadDelta {
    /// Returns the changes that turn `known`, the loads that the receiver has, into `loads`; a full
    /// report if the receiver has none yet.
    ///
    /// Small differences in prefill time are omitted.
    pub fn between(
        known: Option<&BTreeMap<TargetId, TargetLoad>>,
        loads: &BTreeMap<TargetId, TargetLoad>,
    ) -> Self {
        let Some(known) = known else {
            return Self { full: true, busy: loads.clone(), idle: BTreeSet::new() };
        };
        let changed = loads
            .iter()
            .filter(|(id, load)| !known.get(*id).is_some_and(|old| old.is_similar(load)));
        let busy = changed.map(|(id, load)| (id.clone(), *load)).collect();
        let idle = known.keys().filter(|id| !loads.contains_key(*id)).cloned().collect();
        Self { full: false, busy, idle }
    }

    /// Applies the changes to the loads that the receiver has.
    pub fn apply(&self, known: &mut BTreeMap<TargetId, TargetLoad>) {
        if self.full {
            known.clear();
        }
        known.retain(|id, _| !self.idle.contains(id));
        known.extend(self.busy.iter().map(|(id, load)| (id.clone(), *load)));
    }
}

/// Work that this entry has in flight at one target.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct InFlight {
    by_id: BTreeMap<WorkId, Work>,
}

impl InFlight {
    pub(super) fn insert(&mut self, id: WorkId, work: Work) {
        self.by_id.insert(id, work);
    }

    pub(super) fn remove(&mut self, id: WorkId) -> bool {
        self.by_id.remove(&id).is_some()
    }

    pub(super) fn record_first_event(&mut self, id: WorkId) {
        if let Some(work) = self.by_id.get_mut(&id) {
            work.stage = Stage::Decode;
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the total load at `now`.
    ///
    /// Prefill is assumed to have been in progress since the oldest waiting prompt was sent.
    pub(super) fn total_load(&self, now: Instant) -> TargetLoad {
        let mut load = TargetLoad::default();
        let mut longest_wait = Duration::ZERO;
        for work in self.by_id.values() {
            if work.stage != Stage::HelperPrefill {
                load.requests += 1;
                load.kv_tokens += work.prompt_tokens + work.output_tokens;
                load.latency_sensitive += u32::from(is_latency_sensitive(work.max_gap_ms));
                load.add_gap(work.max_gap_ms as f32);
            }
            if work.stage == Stage::Decode {
                load.decoding += 1;
            } else {
                load.prefill_ms += work.prefill_ms as f32;
                longest_wait = longest_wait.max(now.saturating_duration_since(work.sent_at));
            }
        }
        let elapsed_ms = longest_wait.as_secs_f32() * 1e3;
        // Decode steps of other requests take some of that time; counting half of it for prefill is
        // a conservative estimate. At least a quarter of the prefill is counted as remaining.
        load.prefill_ms = (load.prefill_ms - elapsed_ms / 2.0).max(load.prefill_ms / 4.0);
        load
    }
}

/// Returns the duration of a pass with the decoding requests of `load` and no prefill, or of one
/// step if no request is decoding, in ms.
pub(super) fn loaded_pass_ms(load: &TargetLoad, engine: &EngineModel) -> f64 {
    if load.decoding == 0 {
        return engine.step_ms;
    }
    f64::from(engine.stride) * engine.decode_step_ms(load.decoding, load.kv_tokens)
}
