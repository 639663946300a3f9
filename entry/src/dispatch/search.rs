//! The search of a request for a target, and its wait for one.

use super::answer::PromptCall;
use crate::entry::{Core, Entry};
use fulmarhead_lib::{
    admission::short_prompt_reserve,
    cost::{Cost, LengthClass},
    ids::{ModelId, TargetId, Tokens},
    limits::usable_rate,
    outcome::Refusal,
    request::{Admitted, Request},
    routing::{Capacity, Decision, PrefixHashes, Query, RequestProfile, Service},
};
use std::{collections::BTreeSet, sync::Arc, time::Instant};

/// The search of one request for a target.
pub(super) struct Search {
    seed: u64,
    service: Service,
    prefixes: PrefixHashes,
    began: Instant,
    /// Whether an attempt was taken before and broke off.
    begun: bool,
    /// Whether the reserve of the zones let the request pass.
    passed: bool,
    queued: Option<Queued>,
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// To one engine.
    One(TargetId),
    /// To several engines that hold the prompt together.
    Several,
}

impl Search {
    /// Returns the search of a request that was just admitted.
    pub(super) fn new(entry: &Entry, request: &Request<Admitted>, call: &PromptCall) -> Self {
        Self {
            seed: request.id.as_u64_pair().1,
            service: Service::Model(call.prompt.model.clone()),
            prefixes: PrefixHashes::of(&call.prompt.text),
            began: entry.clock.now(),
            begun: false,
            passed: false,
            queued: None,
        }
    }

    /// Begins again after an attempt that had been taken broke off.
    pub(super) fn restart(&mut self, now: Instant) {
        self.began = now;
        self.begun = true;
    }

    /// Returns what the request needs at `now`.
    pub(super) fn need(&self, request: &Request<Admitted>, now: Instant) -> RequestProfile {
        RequestProfile {
            cost: request.cost,
            waited: now.saturating_duration_since(self.began),
            remaining: request.deadline.remaining(now),
            resumed: self.begun,
        }
    }

    /// Records that a target has taken the request.
    pub(super) fn found(&mut self, entry: &Entry, choice: &Choice) {
        self.queued = None;
        if let Choice::One(target) = choice {
            entry.core().affinity.record(&self.prefixes, target, entry.clock.now());
        }
    }

    /// Chooses among the targets without those in `tried`; none means that the request waits.
    pub(super) fn choose(
        &mut self,
        entry: &Arc<Entry>,
        request: &Request<Admitted>,
        call: &PromptCall,
        tried: &BTreeSet<TargetId>,
    ) -> Result<Option<Choice>, Refusal> {
        let now = entry.clock.now();
        let need = self.need(request, now);
        let mut core = entry.core();
        let capacity = core.known.directory.capacity(&self.service, now);
        let rate = capacity.rate / call.fleet.entries.len().max(1) as u64;
        let usable = usable_rate(rate, call.fleet.policy.zone_reserve, capacity.zone_missing);
        let flow = core.flows.entry(call.prompt.model.clone()).or_default();
        self.passed =
            self.passed || usable == rate || flow.reserve.try_take(need.cost, usable, now);
        if self.passed && is_over_one(need.cost, capacity) {
            return Ok(Some(Choice::Several));
        }
        let choice = if self.passed { self.decide(&mut core, need, tried, now)? } else { None };
        if choice.is_none() && capacity.rate > 0 {
            self.wait(entry, &mut core, need, call, rate)?;
        }
        Ok(choice)
    }

    fn decide(
        &self,
        core: &mut Core,
        need: RequestProfile,
        tried: &BTreeSet<TargetId>,
        now: Instant,
    ) -> Result<Option<Choice>, Refusal> {
        let class = need.cost.class();
        let query = Query { service: &self.service, class, tried, seed: self.seed, now };
        let favored = core.affinity.cached_tokens(&self.prefixes, now);
        let candidates = core.known.directory.sample(query, &favored);
        // Another draw at each try, so that a share below one of a cold target is used at times.
        let draw = self.seed ^ need.remaining.as_nanos() as u64;
        match core.router.decide(need, &candidates, draw) {
            Decision::Send(candidate) => Ok(Some(Choice::One(candidate.target.clone()))),
            Decision::Wait => Ok(None),
            Decision::Refuse(refusal) => Err(refusal),
        }
    }

    /// Counts the request among those that wait, or refuses it if it would wait too long.
    fn wait(
        &mut self,
        entry: &Arc<Entry>,
        core: &mut Core,
        need: RequestProfile,
        call: &PromptCall,
        rate: Tokens,
    ) -> Result<(), Refusal> {
        let backlog = &mut core.flows.entry(call.prompt.model.clone()).or_default().backlog;
        backlog.check(need, rate)?;
        if self.queued.is_none() {
            backlog.add(need.cost);
            let (entry, model) = (Arc::clone(entry), call.prompt.model.clone());
            self.queued = Some(Queued { entry, model, cost: need.cost });
        }
        Ok(())
    }
}

/// Returns whether a prompt needs more memory than prompts of its class get at one engine.
fn is_over_one(cost: Cost, capacity: Capacity) -> bool {
    let kept = match cost.class() {
        LengthClass::Short => 0,
        LengthClass::Medium | LengthClass::Long => short_prompt_reserve(capacity.memory),
    };
    capacity.memory > 0 && cost.kv_tokens() + kept > capacity.memory
}

/// A request that is counted among those that wait until this is dropped.
struct Queued {
    entry: Arc<Entry>,
    model: ModelId,
    cost: Cost,
}

impl Drop for Queued {
    fn drop(&mut self) {
        if let Some(flow) = self.entry.core().flows.get_mut(&self.model) {
            flow.backlog.remove(self.cost);
        }
    }
}
