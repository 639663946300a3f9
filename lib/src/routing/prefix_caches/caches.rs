//! The prefix caches of all targets, as one entry knows them.

use super::{
    hit::{Hit, Part},
    holders::{Holder, Holders},
    retention::{Retention, Trust},
};
use crate::{
    control::Load,
    cost::Cost,
    ids::{Incarnation, TargetId, Tokens},
    routing::{Candidate, PrefixHashes},
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time in which the probability that a target still holds a prefix halves.
///
/// It stands for requests of other entries and evictions that this entry does not see.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Age from which a prefix counts as evicted; its probability would be below 1/16.
const MAX_AGE: Duration = Duration::from_secs(120);

/// Multiple of the mean number of running requests up to which a cached prefix attracts requests.
///
/// Decoding of cached prompts adds no prefill to the reported queue, so the expected wait alone
/// would send a popular prefix to one target until its slots are full. With a multiple of 2, two
/// holders took all of 120 requests beside two idle targets.
const MAX_RUNNING_RATIO: f64 = 1.25;

/// Share of the slots, as its reciprocal, that may be in use beyond that multiple.
const SLOT_SHARE: u32 = 8;

/// Prefixes that targets served, and what is known about how long they keep them.
#[derive(Clone, Debug, Default)]
pub struct PrefixCaches {
    holders: Holders,
    retentions: BTreeMap<TargetId, Retention>,
    /// Trust in targets about which no answer has said anything.
    trust: Trust,
}

impl PrefixCaches {
    /// Records a report of the agent of a target, which begins a new run if the agent restarted.
    pub fn record_report(&mut self, target: &str, incarnation: Incarnation, load: &Load) {
        let retention = self.retention_mut(target);
        retention.record_incarnation(incarnation);
        retention.record_load(load);
    }

    /// Records the load in a response to work.
    pub fn record_load(&mut self, target: &str, load: &Load) {
        self.retention_mut(target).record_load(load);
    }

    /// Records that a request is sent to a target, whose memory it takes from cached prefixes.
    pub fn record_send(&mut self, target: &str, cost: Cost) {
        self.retention_mut(target).record_send(cost);
    }

    /// Records that a target has computed the prompt with these prefixes, that is, at its first
    /// token.
    pub fn record_served(&mut self, prefixes: &PrefixHashes, target: &str, now: Instant) {
        let retention = self.retention_mut(target);
        let (run, demand) = (retention.run, retention.demand);
        let holder = Holder { target: target.to_owned(), at: now, run, demand };
        self.holders.record(prefixes, &holder);
    }

    /// Records that work at a target broke off. The target may have restarted, so that its cache
    /// counts as empty.
    pub fn record_failure(&mut self, target: &str) {
        self.retention_mut(target).begin_run();
    }

    /// Returns the targets that served a prefix of the prompt in their current run.
    pub fn hits(&self, prefixes: &PrefixHashes, now: Instant) -> BTreeMap<TargetId, Hit> {
        let mut hits: BTreeMap<TargetId, Hit> = BTreeMap::new();
        for (hash, length) in prefixes.iter() {
            for holder in self.holders.of(hash) {
                let age = now.saturating_duration_since(holder.at);
                let retention = self.retentions.get(&holder.target);
                let current = retention.filter(|retention| retention.run == holder.run);
                let Some(retention) = current.filter(|_| age <= MAX_AGE) else { continue };
                let fresh = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
                let distance = retention.demand.saturating_sub(holder.demand);
                let part = Part { length, fresh, distance };
                hits.entry(holder.target.clone()).or_default().push(part);
            }
        }
        hits
    }

    /// Returns the targets to consider because of their hits, with the length of the known prefix;
    /// targets that keep nothing are left out.
    pub fn attracting(&self, hits: &BTreeMap<TargetId, Hit>) -> BTreeMap<TargetId, Tokens> {
        let trusted = hits.iter().filter(|(target, _)| self.trust_in(target) > 0.0);
        trusted.map(|(target, hit)| (target.clone(), hit.known())).collect()
    }

    /// Sets the expected number of cached tokens of each candidate for a request of `cost`.
    ///
    /// The router weighs it against the wait. A candidate without room for both the request and
    /// the prefix, or with many more running requests than the others, gets 0.
    pub fn weigh(&self, hits: &BTreeMap<TargetId, Hit>, candidates: &mut [Candidate], cost: Cost) {
        let running: u32 = candidates.iter().map(Candidate::running).sum();
        let mean = f64::from(running) / candidates.len().max(1) as f64;
        for candidate in candidates {
            let hit = hits.get(&candidate.target);
            let limit = (mean * MAX_RUNNING_RATIO) as u32 + candidate.load.cap / SLOT_SHARE;
            let hit = hit.filter(|_| candidate.running() <= limit);
            let expected = hit.map(|hit| self.expected(hit, candidate, cost));
            candidate.cached_tokens = expected.unwrap_or(0.0) as Tokens;
        }
    }

    /// Learns from an answer of `candidate` that reported `cached` tokens of its prompt as cached,
    /// where `hit` was known when the request of `cost` was sent.
    pub fn record_outcome(&mut self, candidate: &Candidate, hit: &Hit, cost: Cost, cached: Tokens) {
        let known = hit.known();
        if known == 0 {
            return;
        }
        let overall = self.trust;
        let retention = self.retention_mut(&candidate.target);
        let room = room(candidate, cost);
        let probability = hit.retained(room, retention.capacity(room)) / known as f64;
        let share = cached.min(known) as f64 / known as f64;
        retention.trust.get_or_insert(overall).update(share, probability);
        retention.record_outcome(hit, room, share);
        self.trust.update(share, probability);
    }

    /// Forgets the targets for which `keep` is false.
    pub fn retain_targets(&mut self, keep: impl Fn(&str) -> bool) {
        self.retentions.retain(|target, _| keep(target));
    }

    /// Returns the number of tracked prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn expected(&self, hit: &Hit, candidate: &Candidate, cost: Cost) -> f64 {
        let room = room(candidate, cost);
        let retention = self.retentions.get(&candidate.target);
        let capacity = retention.map_or(room, |retention| retention.capacity(room));
        hit.retained(room, capacity) * self.trust_in(&candidate.target)
    }

    fn trust_in(&self, target: &str) -> f64 {
        let own = self.retentions.get(target).and_then(|retention| retention.trust);
        own.unwrap_or(self.trust).value()
    }

    fn retention_mut(&mut self, target: &str) -> &mut Retention {
        self.retentions.entry(target.to_owned()).or_default()
    }
}

/// Returns the KV cache of a candidate that stays free beside a request of `cost`.
fn room(candidate: &Candidate, cost: Cost) -> Tokens {
    candidate.free_tokens().saturating_sub(cost.kv_tokens())
}
