//! State of the targets of all services, and selection of a target for a request.

use super::{
    AttemptResult, Backoff, Choice, ConnectionId, Helper, LoadDelta, Member, MemberState,
    PlacementError, ReportSource, RequestProfile, TargetLoad, Work, WorkId,
    cost::{Score, packed_engines},
    load::PREFILL_TOLERANCE_MS,
    oversized,
    reports::Reports,
    target::{Candidate, Target},
};
use crate::{
    ids::{ServiceId, TargetId, ZoneId},
    limits::StartBound,
    routes::Service,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Factor for the cost of a target in another zone, which prefers targets in the entry's own zone
/// unless their cost is over 5 % higher. It outweighs the added round trip a little.
const CROSS_ZONE_FACTOR: f64 = 1.05;

/// Maximum number of helpers for one prompt in the platform's protocol.
pub(super) const MAX_HELPERS: usize = 16;

/// Minimum number of engines of the entry's own zone for which the others are left out. Fewer ones
/// are soon unevenly loaded, since the zones do not have the same requests at each moment.
const MIN_LOCAL_ENGINES: usize = 8;

/// Minimum number of engines that are compared for a request.
const MIN_SAMPLE: usize = 3;

/// State of the targets of all services, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Pool {
    zone: ZoneId,
    start_bound: StartBound,
    targets: BTreeMap<TargetId, Target>,
    reports: Reports,
    excluded_zones: BTreeSet<ZoneId>,
    last_id: WorkId,
}

/// Summary of a pool for state dumps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSummary {
    /// Number of targets of each service.
    pub targets: BTreeMap<ServiceId, usize>,
    /// Zones whose targets get no requests.
    pub excluded_zones: BTreeSet<ZoneId>,
    /// Number of entries whose reports of loads count.
    pub reports: usize,
}

impl Pool {
    /// Returns an empty pool of an entry in `zone`; `start_bound` limits the request rate at cold
    /// targets.
    pub fn new(zone: ZoneId, start_bound: StartBound) -> Self {
        Self {
            zone,
            start_bound,
            targets: BTreeMap::new(),
            reports: Reports::default(),
            excluded_zones: BTreeSet::new(),
            last_id: 0,
        }
    }

    /// Replaces the list of targets.
    ///
    /// If `list_was_unavailable` recently, a target that is missing from the list remains usable
    /// for a grace period. Otherwise a missing target is drained.
    pub fn update_members(
        &mut self,
        members: BTreeMap<TargetId, Member>,
        list_was_unavailable: bool,
        now: Instant,
    ) {
        for (id, target) in &mut self.targets {
            match members.get(id) {
                Some(member) => target.update_member(member),
                None if list_was_unavailable => drop(target.missing_since.get_or_insert(now)),
                None => target.member.state = MemberState::Draining,
            }
        }
        self.targets.retain(|id, target| members.contains_key(id) || !target.is_removable(now));
        for (id, member) in members {
            self.targets.entry(id).or_insert_with(|| Target::new(member));
        }
    }

    /// Sets the zones whose targets get no new requests.
    pub fn exclude_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.excluded_zones = zones;
    }

    /// Applies the changes of the loads of `source` that were received on `connection`.
    pub fn update_report(
        &mut self,
        source: ReportSource,
        connection: ConnectionId,
        delta: &LoadDelta,
        now: Instant,
    ) {
        self.reports.update(source, connection, delta, now);
    }

    /// Removes the loads of `source` if they were last reported on `connection`, which has closed.
    pub fn remove_report(&mut self, source: &ReportSource, connection: ConnectionId) {
        self.reports.remove(source, connection);
    }

    /// Returns the loads that this entry and the members that report to it cause.
    pub fn member_loads(&self, now: Instant) -> BTreeMap<TargetId, TargetLoad> {
        self.own_loads_and(now, |source| matches!(source, ReportSource::Member(_)))
    }

    /// Returns the loads that all entries but the member `source` cause, as far as they are known.
    pub fn loads_without(
        &self,
        source: &ReportSource,
        now: Instant,
    ) -> BTreeMap<TargetId, TargetLoad> {
        self.own_loads_and(now, |other| other != source)
    }

    /// Returns the loads that this entry causes, added to those of the reports that `filter`
    /// selects.
    fn own_loads_and(
        &self,
        now: Instant,
        filter: impl Fn(&ReportSource) -> bool,
    ) -> BTreeMap<TargetId, TargetLoad> {
        let mut loads = self.reports.sums(filter);
        let busy = self.targets.iter().filter(|(_, target)| !target.in_flight.is_empty());
        for (id, target) in busy {
            loads.entry(id.clone()).or_default().add(&target.in_flight.total_load(now));
        }
        loads
    }

    /// Selects a target of `service` that is not in `tried`.
    ///
    /// This is the target with the lowest score, among a random sample if the targets are engines. A request that does not fit in the memory of one engine gets
    /// several idle engines.
    ///
    /// `entries` is the number of entries that share the request rate of a cold target.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError::NoTarget`] if no untried target is usable, or
    /// [`PlacementError::Full`] if no usable target can accept the request now or a
    /// latency-sensitive request that is not overdue would miss its objective.
    pub fn choose(
        &mut self,
        service: &Service,
        profile: &RequestProfile,
        tried: &[TargetId],
        backoff: Backoff,
        entries: usize,
        now: Instant,
    ) -> Result<Choice, PlacementError> {
        self.reports.expire(now);
        let usable = self.usable(service, tried, backoff, entries, now);
        if usable.iter().all(|candidate| tried.contains(candidate.id)) {
            return Err(PlacementError::NoTarget);
        }
        let latency_sensitive =
            usable.iter().map(|candidate| candidate.load.latency_sensitive).sum::<u32>() + 1;
        let engine = service.engine.as_ref();
        if let Some(engine) = engine
            .filter(|engine| profile.prompt_tokens + profile.output_tokens > engine.kv_capacity)
        {
            return oversized::choose(usable, engine, profile).ok_or(PlacementError::Full);
        }
        let packed_count =
            engine.map_or(0, |engine| packed_engines(latency_sensitive, usable.len(), engine));
        let available = usable.iter().enumerate().filter(|(_, candidate)| candidate.available);
        let mut scores: Vec<(usize, Score)> = available
            .map(|(position, candidate)| {
                (position, self.score(candidate, service, profile, position, packed_count))
            })
            .collect();
        let is_undisruptive = scores.iter().any(|(_, score)| score.is_undisruptive());
        if engine.is_some() && (profile.is_latency_sensitive() || is_undisruptive) {
            // A sample of one entry's share of the targets, so that entries with the same view of
            // the loads spread their requests.
            let size = (usable.len() / entries.max(1)).max(MIN_SAMPLE);
            self.sample(&mut scores, &usable, profile.draw, size);
        }
        let best = scores.into_iter().min_by(|(_, a), (_, b)| a.compare(b));
        let (position, score) = best.ok_or(PlacementError::Full)?;
        if engine.is_some()
            && profile.is_latency_sensitive()
            && score.misses_requirements()
            && !profile.overdue
        {
            return Err(PlacementError::Full);
        }
        Ok(self.build_choice(usable, position, packed_count, score, service, profile))
    }

    /// Returns the usable targets of `service`, in the order that all entries share.
    fn usable(
        &self,
        service: &Service,
        tried: &[TargetId],
        backoff: Backoff,
        entries: usize,
        now: Instant,
    ) -> Vec<Candidate<'_>> {
        let targets =
            self.targets.iter().filter(|(_, target)| self.is_usable(target, service, now));
        let mut usable: Vec<_> = targets
            .map(|(id, target)| {
                let in_backoff = backoff == Backoff::Respect && target.health.in_backoff(now);
                let may_start = target.allows_start(service, &self.start_bound, entries, now);
                let available = !in_backoff && may_start && !tried.contains(id);
                Candidate { id, target, load: self.load(id, target, now), available }
            })
            .collect();
        usable.sort_by_key(|candidate| candidate.target.order_key);
        usable
    }

    /// Returns the choice of the candidate at `position`.
    ///
    /// A request that tolerates gaps gets helpers if it delays no other request and
    /// [`RequestProfile::part_count`] splits its prompt.
    fn build_choice(
        &self,
        candidates: Vec<Candidate<'_>>,
        position: usize,
        packed_count: usize,
        score: Score,
        service: &Service,
        profile: &RequestProfile,
    ) -> Choice {
        let chosen = &candidates[position];
        let others = candidates.iter().enumerate().filter(|(index, _)| *index != position);
        let others: Vec<_> = others.filter(|(_, candidate)| candidate.available).collect();
        let mut choice = Choice {
            target: chosen.id.clone(),
            address: chosen.target.member.address,
            load: chosen.load,
            helpers: Vec::new(),
            prefill_ms: 0.0,
            candidates: others.len() + 1,
        };
        let Some(engine) = &service.engine else { return choice };
        choice.prefill_ms = engine.prefill_ms(profile.prompt_tokens);
        if profile.is_latency_sensitive() || !score.is_undisruptive() {
            return choice;
        }
        let mut helpers = others;
        helpers.retain(|(_, candidate)| profile.may_help(&candidate.load));
        // Entries with the same view of the loads select different helpers among those that are
        // about equally busy, and leave the engines of latency-sensitive requests to these.
        helpers.sort_by_cached_key(|(index, candidate)| {
            let wait = (candidate.load.prefill_ms / PREFILL_TOLERANCE_MS) as u64;
            (wait, *index < packed_count, !self.is_local(candidate), candidate.draw(profile.draw))
        });
        helpers.truncate(MAX_HELPERS);
        let candidates: Vec<_> = helpers.into_iter().map(|(_, candidate)| candidate).collect();
        let helper_waits: Vec<f64> =
            candidates.iter().map(|candidate| f64::from(candidate.load.prefill_ms)).collect();
        let parts =
            profile.part_count(choice.prefill_ms, f64::from(chosen.load.prefill_ms), &helper_waits);
        let helpers = candidates.iter().take(parts - 1).map(|candidate| Helper {
            target: candidate.id.clone(),
            address: candidate.target.member.address,
            held_tokens: 0,
        });
        choice.helpers = helpers.collect();
        choice.prefill_ms /= parts as f64;
        choice
    }

    /// Records that a request is sent to `target`; returns `None` if the pool has no such target.
    pub fn begin_request(&mut self, target: &str, work: Work, now: Instant) -> Option<WorkId> {
        let state = self.targets.get_mut(target)?;
        self.last_id += 1;
        state.in_flight.insert(self.last_id, work);
        state.recent_starts.record(now);
        Some(self.last_id)
    }

    /// Records that `target` helps with a prompt; returns `None` if the pool has no such target.
    pub fn begin_helper(&mut self, target: &str, work: Work) -> Option<WorkId> {
        let state = self.targets.get_mut(target)?;
        self.last_id += 1;
        state.in_flight.insert(self.last_id, work);
        Some(self.last_id)
    }

    /// Records that `target` no longer helps with a prompt.
    pub fn end_helper(&mut self, target: &str, id: WorkId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.in_flight.remove(id);
        }
    }

    /// Records the arrival of the first event of a request, which ends its prefill.
    pub fn record_first_event(&mut self, target: &str, id: WorkId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.in_flight.record_first_event(id);
        }
    }

    /// Records that `target` sent bytes of any response.
    pub fn record_activity(&mut self, target: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(target) {
            target.last_activity = Some(now);
        }
    }

    /// Returns whether `target` has sent nothing for at least `timeout` plus the prefill time of
    /// its queue. A target that has never sent anything or is not in the pool counts as silent.
    pub fn is_silent(&self, target: &str, timeout: Duration, now: Instant) -> bool {
        let Some(state) = self.targets.get(target) else { return true };
        let prefill = self.load(target, state, now).prefill_ms;
        let max_silence = timeout + Duration::from_secs_f32(prefill.max(0.0) / 1e3);
        state.last_activity.is_none_or(|at| now.saturating_duration_since(at) >= max_silence)
    }

    /// Records the end of an attempt and updates the health of `target`.
    pub fn end_request(
        &mut self,
        target: &str,
        id: Option<WorkId>,
        result: AttemptResult,
        now: Instant,
    ) {
        if let Some(target) = self.targets.get_mut(target) {
            if let Some(id) = id {
                target.in_flight.remove(id);
            }
            target.health.record(result, now);
        }
    }

    /// Returns a summary of the pool for state dumps.
    pub fn summary(&self) -> PoolSummary {
        let mut targets = BTreeMap::new();
        for target in self.targets.values() {
            *targets.entry(target.member.service.clone()).or_default() += 1;
        }
        PoolSummary {
            targets,
            excluded_zones: self.excluded_zones.clone(),
            reports: self.reports.source_count(),
        }
    }

    fn is_usable(&self, target: &Target, service: &Service, now: Instant) -> bool {
        target.member.service == service.id
            && target.member.state == MemberState::Ready
            && !self.excluded_zones.contains(&target.member.zone)
            && (target.missing_since.is_none() || target.is_in_grace(now))
    }

    fn load(&self, id: &str, target: &Target, now: Instant) -> TargetLoad {
        let mut load = target.in_flight.total_load(now);
        load.add(&self.reports.total(id));
        load
    }

    fn score(
        &self,
        candidate: &Candidate<'_>,
        service: &Service,
        profile: &RequestProfile,
        position: usize,
        packed_count: usize,
    ) -> Score {
        let target = candidate.target;
        let score = match &service.engine {
            Some(engine) => profile.score(&candidate.load, engine, position, packed_count),
            None => Score::for_application(&candidate.load),
        };
        let weighted =
            if self.is_local(candidate) { score } else { score.scaled(CROSS_ZONE_FACTOR) };
        // Divides by the success rate, with a lower bound that keeps the cost finite.
        weighted.scaled(1.0 / (1.0 - target.health.failure_rate()).max(0.05))
    }

    /// Reduces the scores to a random sample of `size` from the best class, selected by `draw`, so
    /// that entries with the same view of the loads do not all send to the same target.
    ///
    /// The sample is taken from this entry's zone if that has enough targets of the class: the loads
    /// there are known sooner than those of other zones.
    fn sample(
        &self,
        scores: &mut Vec<(usize, Score)>,
        candidates: &[Candidate<'_>],
        draw: u64,
        size: usize,
    ) {
        let best = scores.iter().map(|(_, score)| score.class()).min();
        scores.retain(|(_, score)| Some(score.class()) == best);
        let is_local = |(position, _): &(usize, Score)| self.is_local(&candidates[*position]);
        if scores.iter().filter(|score| is_local(score)).count() >= size.max(MIN_LOCAL_ENGINES) {
            scores.retain(is_local);
        }
        scores.sort_by_cached_key(|(position, _)| candidates[*position].draw(draw));
        scores.truncate(size);
    }

    /// Returns whether the candidate is in this entry's zone.
    fn is_local(&self, candidate: &Candidate<'_>) -> bool {
        candidate.target.member.zone == self.zone
    }
}
