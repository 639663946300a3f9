//! Requirements of a request, and scores of targets for it.
//!
//! A pass of an engine consists of `EngineModel::stride` decode steps. Prefill that runs in a pass
//! prolongs it, which delays every stream of the engine by that time. Latency-sensitive requests
//! are therefore packed onto few engines, in an order that all entries share, and the other engines
//! prefill long prompts, split into parts that the streams there tolerate.

use super::{
    load::{TargetLoad, is_latency_sensitive, loaded_pass_ms},
    room::PrefillRoom,
    selection::MAX_HELPERS,
};
use crate::{ids::Tokens, routes::EngineModel};
use std::{cmp::Ordering, time::Duration};

/// Size and latency requirements of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestProfile {
    /// Length of the prompt in tokens; 0 for an application.
    pub prompt_tokens: Tokens,
    /// Expected length of the output in tokens.
    pub output_tokens: Tokens,
    /// Latency objective: longest acceptable time to the first event.
    pub objective: Duration,
    /// Longest acceptable gap between two events.
    pub max_gap: Duration,
    /// Whether a late answer is better than a refusal, because the objective has already passed.
    pub overdue: bool,
    /// Random number that makes entries with the same view of the loads select different targets.
    pub draw: u64,
}

/// Share of the slots of an engine that latency-sensitive requests fill before they use the engines
/// reserved for long prompts. The remaining slots absorb requests that entries send before they
/// learn of each other's loads.
pub(super) const SLOT_SHARE_BEFORE_RESERVE: f64 = 0.85;

/// Share of the tolerated gap or of the latency objective that prefill may take. The rest covers
/// the pass itself and requests that other entries send at the same time.
pub(super) const PREFILL_SHARE: f64 = 0.4;

/// Score of a target for a request. Lower is better, and the class takes precedence over the cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Score {
    /// 0 if neither this request nor others are expected to be delayed, 1 if this request is
    /// expected to meet its requirements, 2 otherwise.
    class: u8,
    /// Cost within the class. Its unit depends on the class and the kind of request, so it is only
    /// compared between targets for the same request.
    cost: f64,
}

impl Score {
    /// Returns the score of an application's target with `load`.
    pub(super) fn for_application(load: &TargetLoad) -> Self {
        Self { class: 0, cost: f64::from(load.requests + 1) }
    }

    /// Returns the score with its cost multiplied by `factor`.
    pub(super) fn scaled(self, factor: f64) -> Self {
        Self { cost: self.cost * factor, ..self }
    }

    /// Returns the score with another cost.
    pub(super) fn with_cost(self, cost: f64) -> Self {
        Self { cost, ..self }
    }

    /// Returns the score at a target where work takes `factor` times as long, the work of this
    /// request of the cost `own` included.
    pub(super) fn slowed(self, factor: f64, own: f64) -> Self {
        Self { cost: self.cost + (factor - 1.0) * (self.cost + own), ..self }
    }

    /// Compares by class, then by cost.
    pub(super) fn compare(&self, other: &Self) -> Ordering {
        self.class.cmp(&other.class).then(self.cost.total_cmp(&other.cost))
    }

    pub(super) fn class(self) -> u8 {
        self.class
    }

    /// Returns whether the request is expected to miss its requirements at the target.
    pub(super) fn misses_requirements(self) -> bool {
        self.class > 1
    }

    /// Returns whether the target can serve the request without delaying others.
    pub(super) fn is_undisruptive(self) -> bool {
        self.class == 0
    }
}

impl RequestProfile {
    /// Returns whether the request tolerates only short gaps between events.
    pub fn is_latency_sensitive(&self) -> bool {
        is_latency_sensitive(millis(self.max_gap))
    }

    /// Returns the score of the engine at `position` in the shared order, with `load`.
    ///
    /// The first `packed_count` engines are for latency-sensitive requests.
    pub(super) fn score(
        &self,
        load: &TargetLoad,
        engine: &EngineModel,
        position: usize,
        packed_count: usize,
    ) -> Score {
        match self.is_latency_sensitive() {
            true => self.latency_sensitive_score(load, engine, position < packed_count),
            false => self.gap_tolerant_score(load, engine, position),
        }
    }

    fn latency_sensitive_score(
        &self,
        load: &TargetLoad,
        engine: &EngineModel,
        is_packed: bool,
    ) -> Score {
        let prefill = f64::from(load.prefill_ms);
        let has_free_slot = load.requests < engine.slots;
        let has_spare_slot =
            f64::from(load.requests + 1) <= SLOT_SHARE_BEFORE_RESERVE * f64::from(engine.slots);
        let first_event_ms =
            loaded_pass_ms(load, engine) + prefill + engine.prefill_ms(self.prompt_tokens);
        if has_spare_slot && is_packed && prefill <= PREFILL_SHARE * millis(self.max_gap) {
            return Score {
                class: 0,
                cost: f64::from(load.requests) + prefill / engine.base_pass_ms(),
            };
        }
        if has_free_slot && first_event_ms <= millis(self.objective) {
            return Score { class: 1, cost: first_event_ms };
        }
        let waiting = load.requests.saturating_sub(engine.slots - 1);
        Score { class: 2, cost: first_event_ms * (1.0 + f64::from(waiting)) }
    }

    fn gap_tolerant_score(
        &self,
        load: &TargetLoad,
        engine: &EngineModel,
        position: usize,
    ) -> Score {
        let fits_memory =
            load.kv_tokens + self.prompt_tokens + self.output_tokens <= engine.kv_capacity;
        let has_free_slot = load.requests < engine.slots;
        let order_cost = 1.0 / (1.0 + position as f64);
        let cost = f64::from(load.prefill_ms) + f64::from(load.decoding) + order_cost;
        let smallest_part = engine.prefill_ms(self.prompt_tokens) / (MAX_HELPERS + 1) as f64;
        let has_room = PrefillRoom::of(load, engine).admits(smallest_part);
        match (fits_memory && has_free_slot, has_room) {
            (true, true) => Score { class: 0, cost },
            (true, false) => {
                let delayed = f64::from(load.latency_sensitive.max(1));
                Score { class: 1, cost: cost + delayed * millis(self.max_gap) }
            }
            (false, _) => Score { class: 2, cost: load.kv_tokens as f64 },
        }
    }
}

pub(super) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
