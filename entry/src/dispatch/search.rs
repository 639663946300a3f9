//! Selection of the target for a prompt, and the backlog of prompts that wait for one.

use super::{prompt::PromptCall, sent::SentPrompt};
use crate::{
    entry::{Entry, EntryState},
    prefixes::PrefixCandidates,
};
use fulmarhead_lib::{
    admission::short_prompt_reserve,
    cost::{Cost, LengthClass},
    forward::StopSchedule,
    ids::{ModelId, TargetId, Tokens},
    limits::usable_rate,
    outcome::{Reason, Refusal},
    request::{Admitted, Request},
    routing::{Capacity, Decision, PrefixHashes, Query, RequestProfile, Service, is_unreachable},
};
use std::{collections::BTreeSet, sync::Arc, time::Instant};

/// Selection of targets for one request, kept over all its attempts.
pub(super) struct TargetSearch {
    seed: u64,
    service: Service,
    prefixes: PrefixHashes,
    /// Last prompt sent to one engine.
    sent: Option<SentPrompt>,
    /// Start of the current search, from which the waiting time counts.
    started_at: Instant,
    /// Whether the stream of an earlier attempt was interrupted after a target had accepted it.
    interrupted: bool,
    /// Whether the limit that keeps the zone reserve free has admitted the request. It is not
    /// checked again after that.
    reserve_granted: bool,
    backlog_guard: Option<BacklogGuard>,
}

/// Engines to which an attempt is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Destination {
    /// One engine, which holds the whole prompt.
    OneEngine(TargetId),
    /// Several engines, each of which holds a segment of the prompt.
    MultipleEngines,
}

impl TargetSearch {
    /// Starts the search for a request that was just admitted.
    pub(super) fn new(entry: &Entry, request: &Request<Admitted>, call: &PromptCall) -> Self {
        Self {
            seed: request.id.as_u64_pair().1,
            service: Service::Model(call.prompt.model.clone()),
            prefixes: PrefixHashes::of(&call.prompt.text),
            sent: None,
            started_at: entry.clock.now(),
            interrupted: false,
            reserve_granted: false,
            backlog_guard: None,
        }
    }

    /// Restarts the search after the stream of an accepted attempt was interrupted.
    pub(super) fn restart(&mut self, now: Instant) {
        self.started_at = now;
        self.interrupted = true;
    }

    /// Returns the routing profile of the request at `now`.
    pub(super) fn profile(&self, request: &Request<Admitted>, now: Instant) -> RequestProfile {
        RequestProfile {
            cost: request.cost,
            waited: now.saturating_duration_since(self.started_at),
            remaining: request.deadline.remaining(now),
            resumed: self.interrupted,
        }
    }

    /// Records that a target accepted the request.
    pub(super) fn record_accepted(&mut self, entry: &Entry, destination: &Destination) {
        self.backlog_guard = None;
        if let Destination::OneEngine(target) = destination {
            let now = entry.clock.now();
            entry.state().prefixes.record_accepted(&self.prefixes, target, now);
        }
    }

    /// Records the first item of an attempt.
    pub(super) fn record_first_item(&mut self, entry: &Entry) {
        if let Some(sent) = &mut self.sent {
            sent.record_first_item(entry, &self.prefixes);
        }
    }

    /// Records the end of the answer, which reported `cached` tokens as cached, and returns the
    /// number of cached tokens that was expected.
    pub(super) fn record_end(&self, entry: &Entry, cached: Option<Tokens>) -> Tokens {
        if let Some(sent) = &self.sent {
            sent.record_end(entry, cached);
        }
        self.sent.as_ref().map_or(0, SentPrompt::expected_tokens)
    }

    /// Chooses among the targets that are not in `tried`.
    ///
    /// Returns `None` if the request has to wait. It is then counted in the backlog of the model,
    /// provided that any target of the model accepts new work.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request can't be answered in time, also because this entry ends
    /// before, or would wait too long.
    pub(super) fn choose_destination(
        &mut self,
        entry: &Arc<Entry>,
        request: &Request<Admitted>,
        call: &PromptCall,
        tried: &BTreeSet<TargetId>,
    ) -> Result<Option<Destination>, Refusal> {
        let now = entry.clock.now();
        let profile = self.profile(request, now);
        let mut state = entry.state();
        let profiles = Profiles::new(profile, state.stop, now);
        let capacity = state.targets.directory.capacity(&self.service, now);
        let rate = capacity.rate / call.fleet.entries.len().max(1) as u64;
        let usable = usable_rate(rate, call.fleet.policy.zone_reserve, capacity.zone_missing);
        let model = state.models.entry(call.prompt.model.clone()).or_default();
        // If the usable rate is the full rate, no capacity is reserved for the loss of a zone.
        self.reserve_granted = self.reserve_granted
            || usable == rate
            || model.prefill_limiter.try_take(profile.cost, usable, now);
        if self.reserve_granted && exceeds_one_engine(profile.cost, capacity) {
            self.sent = None;
            return Ok(Some(Destination::MultipleEngines));
        }
        let destination = if self.reserve_granted {
            self.decide(&mut state, profiles, tried, now)?
        } else {
            None
        };
        if destination.is_none() && capacity.rate > 0 {
            self.count_in_backlog(entry, &mut state, profiles, call, rate)?;
        }
        Ok(destination)
    }

    /// Lets the router choose among a sample of the targets.
    fn decide(
        &mut self,
        state: &mut EntryState,
        profiles: Profiles,
        tried: &BTreeSet<TargetId>,
        now: Instant,
    ) -> Result<Option<Destination>, Refusal> {
        let profile = profiles.by_deadline;
        let class = profile.cost.class();
        let query = Query { service: &self.service, class, tried, seed: self.seed, now };
        let directory = &state.targets.directory;
        let PrefixCandidates { candidates, mut hits } =
            state.prefixes.candidates(directory, query, &self.prefixes, profile.cost);
        // All entries share the few slots of a cold target. The router decides by `draw` whether
        // this entry may use one, and `draw` differs at each choice, so that an entry whose share
        // is less than one slot uses the target some of the time.
        let draw = self.seed ^ profile.remaining.as_nanos() as u64;
        match state.router.decide(profile, &candidates, draw) {
            Decision::Refuse(refusal) => Err(refusal),
            _ if is_unreachable(profiles.by_stop, &candidates) => Err(stop_refusal()),
            Decision::Send(candidate) => {
                let hit = hits.remove(&candidate.target);
                self.sent = Some(SentPrompt::new(candidate, hit, profile.cost, now));
                Ok(Some(Destination::OneEngine(candidate.target.clone())))
            }
            Decision::Wait => Ok(None),
        }
    }

    /// Counts the request in the backlog of its model, or refuses it if its expected wait is too
    /// long.
    fn count_in_backlog(
        &mut self,
        entry: &Arc<Entry>,
        state: &mut EntryState,
        profiles: Profiles,
        call: &PromptCall,
        rate: Tokens,
    ) -> Result<(), Refusal> {
        let profile = profiles.by_deadline;
        let backlog = &mut state.models.entry(call.prompt.model.clone()).or_default().backlog;
        backlog.check(profile, rate)?;
        backlog.check(profiles.by_stop, rate).map_err(|_| stop_refusal())?;
        if self.backlog_guard.is_none() {
            backlog.add(profile.cost);
            let (entry, model) = (Arc::clone(entry), call.prompt.model.clone());
            self.backlog_guard = Some(BacklogGuard { entry, model, cost: profile.cost });
        }
        Ok(())
    }
}

/// A request's profile by its deadline, and by the stop of this entry if that comes first.
#[derive(Clone, Copy, Debug)]
struct Profiles {
    by_deadline: RequestProfile,
    by_stop: RequestProfile,
}

impl Profiles {
    fn new(profile: RequestProfile, stop: Option<StopSchedule>, now: Instant) -> Self {
        let remaining =
            stop.map_or(profile.remaining, |stop| stop.remaining(now).min(profile.remaining));
        Self { by_deadline: profile, by_stop: RequestProfile { remaining, ..profile } }
    }
}

/// Returns the refusal of a prompt that no target can serve before this entry ends.
fn stop_refusal() -> Refusal {
    Refusal::not_run(Reason::ShuttingDown)
}

/// Returns whether a prompt needs more KV cache than its length class may use at one engine.
///
/// Medium and long prompts may not use the part that is reserved for short ones.
fn exceeds_one_engine(cost: Cost, capacity: Capacity) -> bool {
    let reserved = match cost.class() {
        LengthClass::Short => 0,
        LengthClass::Medium | LengthClass::Long => short_prompt_reserve(capacity.memory),
    };
    capacity.memory > 0 && cost.kv_tokens() + reserved > capacity.memory
}

/// Counts a request in the backlog of its model until dropped.
struct BacklogGuard {
    entry: Arc<Entry>,
    model: ModelId,
    cost: Cost,
}

impl Drop for BacklogGuard {
    fn drop(&mut self) {
        if let Some(model) = self.entry.state().models.get_mut(&self.model) {
            model.backlog.remove(self.cost);
        }
    }
}
