//! Selection of a target for a request.

use super::{
    Backoff, Choice, Helper, PlacementError, Pool, RequestProfile,
    cost::{SLOT_SHARE_BEFORE_RESERVE, Score},
    demand::{busy_engines, packed_engines},
    load::PREFILL_TOLERANCE_MS,
    oversized,
    pace::{divide_by_median, is_slow},
    room::PrefillRoom,
    spread::effective_position,
    target::{Candidate, Target},
};
use crate::{
    ids::TargetId,
    routes::{EngineModel, Service},
};
use std::time::{Duration, Instant};

/// Factor for the cost of a target in another zone, which prefers targets in the entry's own zone
/// unless their cost is over 5 % higher. It outweighs the added round trip a little.
const CROSS_ZONE_FACTOR: f64 = 1.05;

/// Maximum number of helpers for one prompt in the platform's protocol.
pub(super) const MAX_HELPERS: usize = 16;

/// Minimum number of engines of the entry's own zone for which the others are left out. Fewer ones
/// are soon unevenly loaded, since the zones do not have the same requests at each moment.
const MIN_LOCAL_ENGINES: usize = 8;

/// Minimum number of engines that are compared for a request that tolerates gaps.
const MIN_SAMPLE: usize = 3;

/// Number of engines that are compared for a latency-sensitive request.
const LATENCY_SENSITIVE_SAMPLE: usize = 6;

/// Prefill queue, in ms, at which an engine is no more drawn for a latency-sensitive request than a
/// full one.
const MAX_DRAWN_PREFILL_MS: f64 = 110.0;

/// Smallest factor of the weight of an engine, so that it stays in the draw and can recover.
const MIN_WEIGHT: f64 = 0.05;

/// Longest wait for a share of the limit of a target. A caller that would wait longer is refused, and
/// may find a share at another entry.
const MAX_LIMIT_WAIT: Duration = Duration::from_millis(250);

/// Changes the draw that selected the sample, so that the draw within the sample is independent.
const SECOND_DRAW: u64 = 0x9e37_79b9;

impl Pool {
    /// Selects a target of `service` that is not in `tried`.
    ///
    /// This is the target with the lowest score, among a random sample if the targets are engines, or
    /// if the loads that other entries cause are not known. A
    /// request that does not fit in the memory of one engine gets several idle engines.
    ///
    /// `entries` is the number of entries that share the request rate of a cold target.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError::NoTarget`] if no untried target is usable,
    /// [`PlacementError::Paused`] if all of them want no requests for some time or have none left of
    /// their limits, or
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
        let spreads = self.spreads_requests(entries, now);
        let usable = self.usable(service, tried, backoff, entries, now);
        let mut untried =
            usable.iter().filter(|candidate| !tried.contains(candidate.id)).peekable();
        if untried.peek().is_none() {
            return Err(PlacementError::NoTarget);
        }
        if let Some(pause) = untried.map(|candidate| candidate.pause).min().flatten() {
            return Err(PlacementError::Paused(pause));
        }
        let latency_sensitive =
            usable.iter().map(|candidate| candidate.load.latency_sensitive).sum::<u32>() + 1;
        let engine = service.engine.as_ref();
        if let Some(engine) = engine
            .filter(|engine| profile.prompt_tokens + profile.output_tokens > engine.kv_capacity)
        {
            return oversized::choose(usable, engine, profile).ok_or(PlacementError::Full);
        }
        let packed_count = engine.map_or(0, |engine| {
            let next_ms = match profile.is_latency_sensitive() {
                true => engine.prefill_ms(profile.prompt_tokens),
                false => 0.0,
            };
            let sends = self.recent_sends.get(&service.id);
            let prefill_ms = next_ms + sends.map_or(0.0, |sends| sends.prefill_ms(now));
            let busy_engines = busy_engines(prefill_ms, entries);
            packed_engines(latency_sensitive, busy_engines, usable.len(), engine)
        });
        let available = usable.iter().enumerate().filter(|(_, candidate)| candidate.available);
        let mut scores: Vec<(usize, Score)> = available
            .map(|(position, candidate)| {
                let order = effective_position(position, spreads);
                (position, self.score(candidate, service, profile, order, packed_count))
            })
            .collect();
        let is_undisruptive = scores.iter().any(|(_, score)| score.is_undisruptive());
        if spreads || engine.is_some() && (profile.is_latency_sensitive() || is_undisruptive) {
            // A sample of one entry's share of the targets, so that entries with the same view of
            // the loads spread their requests.
            let size = match profile.is_latency_sensitive() {
                true => LATENCY_SENSITIVE_SAMPLE,
                false => (usable.len() / entries.max(1)).max(MIN_SAMPLE),
            };
            self.sample(&mut scores, &usable, profile.draw, size);
            if let Some(engine) = engine
                && profile.is_latency_sensitive()
                && is_undisruptive
            {
                draw_by_capacity(&mut scores, &usable, engine, profile.draw);
            }
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

    /// Returns the usable targets of `service`, in the order that all entries share,
    /// except that the slow and the limited ones come last.
    fn usable(
        &self,
        service: &Service,
        tried: &[TargetId],
        backoff: Backoff,
        entries: usize,
        now: Instant,
    ) -> Vec<Candidate<'_>> {
        let targets =
            self.targets.iter().filter(|(id, target)| self.is_usable(id, target, service, now));
        let mut usable: Vec<_> = targets
            .map(|(id, target)| {
                let in_backoff = backoff == Backoff::Respect && target.health.in_backoff(now);
                let may_start = target.allows_start(service, &self.start_bound, entries, now);
                let started_at = target.member.started_at;
                let limit_wait = self.request_limits.wait(id, started_at, now);
                let pause = self.notices.pause(id, started_at, now);
                let pause = pause.max(limit_wait.filter(|wait| *wait > MAX_LIMIT_WAIT));
                let may_send = pause.is_none() && limit_wait.is_none_or(|wait| wait.is_zero());
                let available = !in_backoff && may_start && may_send && !tried.contains(id);
                let (load, slowness) = (self.load(id, target, now), target.slowness(now));
                let limited = limit_wait.is_some();
                Candidate { id, target, load, available, limited, pause, slowness }
            })
            .collect();
        divide_by_median(&mut usable, now);
        usable.sort_by_key(|candidate| {
            (is_slow(candidate.slowness) || candidate.limited, candidate.target.order_key)
        });
        self.skip_suspected_zones(&mut usable, now);
        usable
    }

    /// Makes the candidates of suspected zones unavailable if any other is available.
    fn skip_suspected_zones(&self, candidates: &mut [Candidate<'_>], now: Instant) {
        let is_suspected = |candidate: &Candidate<'_>| {
            self.outages.is_suspected(&candidate.target.member.zone, now)
        };
        if candidates.iter().any(|candidate| candidate.available && !is_suspected(candidate)) {
            candidates
                .iter_mut()
                .for_each(|candidate| candidate.available &= !is_suspected(candidate));
        }
    }

    /// Returns the choice of the candidate at `position`.
    ///
    /// A request that tolerates gaps gets helpers if it delays no other request and
    /// [`RequestProfile::split`] splits its prompt.
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
            started_at: chosen.target.member.started_at,
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
        helpers.retain(|(_, candidate)| !is_slow(candidate.slowness) && !candidate.limited);
        // Entries with the same view of the loads select different helpers among those that are
        // about equally busy, and use the engines of latency-sensitive requests last.
        helpers.sort_by_cached_key(|(index, candidate)| {
            let is_shared = candidate.load.latency_sensitive > 0;
            let wait = (candidate.load.prefill_ms / PREFILL_TOLERANCE_MS) as u64;
            let is_remote = !self.is_local(candidate);
            (is_shared, wait, *index < packed_count, is_remote, candidate.draw(profile.draw))
        });
        let rooms: Vec<_> =
            helpers.iter().map(|(_, candidate)| PrefillRoom::of(&candidate.load, engine)).collect();
        let room = PrefillRoom::of(&chosen.load, engine);
        let selected = profile.split(choice.prefill_ms, room, &rooms);
        choice.prefill_ms /= (selected.len() + 1) as f64;
        let helpers = selected.into_iter().map(|index| helpers[index].1);
        let helpers = helpers.map(|candidate| Helper {
            target: candidate.id.clone(),
            address: candidate.target.member.address,
            held_tokens: 0,
        });
        choice.helpers = helpers.collect();
        choice
    }

    fn is_usable(&self, id: &str, target: &Target, service: &Service, now: Instant) -> bool {
        target.member.service == service.id
            && target.is_listed_ready(now)
            && !self.notices.is_leaving(id, target.member.started_at)
            && !self.excluded_zones.contains(&target.member.zone, now)
    }

    fn score(
        &self,
        candidate: &Candidate<'_>,
        service: &Service,
        profile: &RequestProfile,
        position: usize,
        packed_count: usize,
    ) -> Score {
        let score = match &service.engine {
            Some(engine) => profile.score(&candidate.load, engine, position, packed_count),
            None => Score::for_application(&candidate.load),
        };
        let weighted =
            if self.is_local(candidate) { score } else { score.scaled(CROSS_ZONE_FACTOR) };
        let own_cost = profile.own_cost(service.engine.as_ref());
        weighted.slowed(candidate.slowness, own_cost).scaled(1.0 / success_rate(candidate))
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

/// Returns the share of attempts at the candidate that succeed, with a lower bound that keeps costs
/// finite.
fn success_rate(candidate: &Candidate<'_>) -> f64 {
    (1.0 - candidate.target.health.failure_rate()).max(MIN_WEIGHT)
}

/// Replaces the costs by random ones, so that engines are selected in proportion to their free
/// slots and success rates.
///
/// An engine that has just become the least busy one would otherwise get the requests of all
/// entries until they learn of each other's loads.
fn draw_by_capacity(
    scores: &mut [(usize, Score)],
    candidates: &[Candidate<'_>],
    engine: &EngineModel,
    draw: u64,
) {
    let slots = SLOT_SHARE_BEFORE_RESERVE * f64::from(engine.slots);
    for (position, score) in scores {
        let candidate = &candidates[*position];
        let free_slots = (slots - f64::from(candidate.load.requests)).max(MIN_WEIGHT);
        let prefill_share = f64::from(candidate.load.prefill_ms) / MAX_DRAWN_PREFILL_MS;
        let free_prefill = (1.0 - prefill_share).max(MIN_WEIGHT);
        let weight = free_slots * free_prefill * success_rate(candidate);
        let uniform = candidate.draw(draw ^ SECOND_DRAW) as f64 / u64::MAX as f64;
        // The smallest of exponential variables with these rates belongs to each candidate with a
        // probability in proportion to its weight.
        *score = score.with_cost(-uniform.max(f64::MIN_POSITIVE).ln() / weight);
    }
}
