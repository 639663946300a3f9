//! What an entry knows about the prefix cache of one target.

use super::hit::Hit;
use crate::{
    control::Load,
    cost::Cost,
    ids::{Incarnation, Tokens},
};

/// Weight of one answer in the trust in a cache.
///
/// After seven answers that find nothing, the trust is below [`MIN_TRUST`]. One miss because of a
/// restart or an unseen eviction lowers it by less than a third.
const TRUST_GAIN: f64 = 0.3;

/// Trust in caches about which no answer has said anything.
const INITIAL_TRUST: f64 = 0.5;

/// Trust below which a target counts as keeping nothing.
const MIN_TRUST: f64 = 0.05;

/// Share of the known prefix that must be cached for an answer to count as a hit.
///
/// Engines cache whole blocks, and half of a prefix is more than its rounding.
const HIT_SHARE: f64 = 0.5;

/// Average share of the known and probably retained tokens that answers reported as cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Trust(f64);

impl Default for Trust {
    fn default() -> Self {
        Self(INITIAL_TRUST)
    }
}

impl Trust {
    /// Returns the trust, or 0 if it is negligible.
    pub(super) fn value(self) -> f64 {
        if self.0 < MIN_TRUST { 0.0 } else { self.0 }
    }

    /// Moves the trust towards the cached share of an answer.
    ///
    /// An answer counts by the probability with which the prefix was expected, since a miss of a
    /// prefix that was probably evicted says little about whether the target keeps prefixes.
    pub(super) fn update(&mut self, share: f64, probability: f64) {
        self.0 += TRUST_GAIN * probability * (share - self.0);
    }
}

/// Demand on the KV cache of one target, and what answers said about its prefix cache.
#[derive(Clone, Debug, Default)]
pub(super) struct Retention {
    incarnation: Option<Incarnation>,
    /// Number of the run of the target; prefixes of earlier runs are lost.
    pub(super) run: u64,
    /// KV cache asked of the target since the entry knows it, in tokens.
    pub(super) demand: Tokens,
    /// Part of `demand` that this entry asked for since the last load.
    own: Tokens,
    /// Used KV cache in the last load, in tokens.
    used: Option<Tokens>,
    /// Learned KV cache that may be asked of the target before it evicts a prefix, in tokens.
    capacity: Option<Tokens>,
    pub(super) trust: Option<Trust>,
}

impl Retention {
    /// Records the incarnation of the agent; a new one begins a new run.
    pub(super) fn record_incarnation(&mut self, incarnation: Incarnation) {
        if self.incarnation.replace(incarnation).is_some_and(|known| known != incarnation) {
            self.begin_run();
        }
    }

    /// Begins a new run, in which the cache is empty. What answers said about the target stays.
    pub(super) fn begin_run(&mut self) {
        self.run += 1;
        (self.own, self.used) = (0, None);
    }

    /// Adds the KV cache of a request that this entry sends.
    pub(super) fn record_send(&mut self, cost: Cost) {
        self.demand += cost.kv_tokens();
        self.own += cost.kv_tokens();
    }

    /// Adds the growth of the used KV cache that this entry's requests do not explain.
    ///
    /// Requests of other entries that begin and end between two loads are not seen; the learned
    /// capacity accounts for them.
    pub(super) fn record_load(&mut self, load: &Load) {
        if let Some(used) = self.used.replace(load.kv_used) {
            self.demand += load.kv_used.saturating_sub(used + self.own);
        }
        self.own = 0;
    }

    /// Returns the capacity for prefixes; `room` if no answer has said anything about it.
    pub(super) fn capacity(&self, room: Tokens) -> Tokens {
        self.capacity.unwrap_or(room)
    }

    /// Learns the capacity from an answer with the cached share `share` of `hit`.
    ///
    /// A hit doubles a capacity that would have made it improbable. A miss moves the capacity
    /// halfway to the demand since, unless the target probably keeps nothing.
    pub(super) fn record_outcome(&mut self, hit: &Hit, room: Tokens, share: f64) {
        let (distance, capacity) = (hit.distance(), self.capacity(room));
        let keeps = self.trust.is_some_and(|trust| trust.value() > INITIAL_TRUST);
        if share >= HIT_SHARE {
            if distance > capacity / 2 {
                self.capacity = Some(distance * 2);
            }
        } else if keeps && distance < capacity {
            self.capacity = Some(distance.midpoint(capacity).max(hit.known()));
        }
    }
}
