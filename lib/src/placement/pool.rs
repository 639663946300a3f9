//! The targets of all services and the choice among them.

use super::{
    AttemptResult, Choice, Helper, LoadChanges, Member, MemberState, Need, Shortage, TargetLoad,
    Waive, Work, WorkId,
    cost::{Fit, packed},
    shared,
    target::{Candidate, Target},
};
use crate::{
    ids::{EntryId, ServiceId, TargetId, ZoneId},
    limits::StartBound,
    routes::Service,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use twox_hash::XxHash64;

/// Loads that a peer reported, and when.
#[derive(Clone, Debug)]
struct PeerLoads {
    at: Instant,
    loads: BTreeMap<TargetId, TargetLoad>,
}

impl PeerLoads {
    fn new(now: Instant) -> Self {
        Self { at: now, loads: BTreeMap::new() }
    }
}

/// Time after which the loads of a silent peer no longer count, a few exchanges. They are kept,
/// since the next report says only what changed.
const PEER_EXPIRY: Duration = Duration::from_secs(2);

/// Extra cost of a target in another zone, as a share: a little more than the round trip.
const ZONE_COST: f64 = 1.05;

/// Most targets that read parts of one prompt, by the platform's protocol.
pub(super) const MAX_HELPERS: usize = 16;

/// Targets that a request with short pauses is compared for.
const SAMPLE: usize = 3;

/// The targets of all services.
#[derive(Clone, Debug)]
pub struct Pool {
    zone: ZoneId,
    starts: StartBound,
    targets: BTreeMap<TargetId, Target>,
    peers: BTreeMap<EntryId, PeerLoads>,
    out: BTreeSet<ZoneId>,
    next: WorkId,
}

/// What a pool holds, for a dump.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolView {
    /// Targets by service.
    pub targets: BTreeMap<ServiceId, usize>,
    /// Zones that are taken out.
    pub out: BTreeSet<ZoneId>,
    /// Peers that report.
    pub peers: usize,
}

impl Pool {
    /// Returns an empty pool of an entry in `zone`; `starts` bounds the work for cold targets.
    pub fn new(zone: ZoneId, starts: StartBound) -> Self {
        let (targets, peers) = (BTreeMap::new(), BTreeMap::new());
        Self { zone, starts, targets, peers, out: BTreeSet::new(), next: 0 }
    }

    /// Takes over the platform's list.
    ///
    /// With `unsettled`, the list was away lately: a target that is no longer on it is kept for
    /// a grace period.
    pub fn update(&mut self, members: BTreeMap<TargetId, Member>, unsettled: bool, now: Instant) {
        for (id, target) in &mut self.targets {
            match members.get(id) {
                Some(member) => target.renew(member),
                None if unsettled => drop(target.lapsed.get_or_insert(now)),
                None => target.member.state = MemberState::Draining,
            }
        }
        self.targets.retain(|id, target| members.contains_key(id) || !target.is_over(now));
        for (id, member) in members {
            self.targets.entry(id).or_insert_with(|| Target::new(member));
        }
    }

    /// Sets the zones that get no work.
    pub fn take_out(&mut self, zones: BTreeSet<ZoneId>) {
        self.out = zones;
    }

    /// Takes over the loads that a peer reports.
    pub fn report(&mut self, peer: EntryId, changes: &LoadChanges, now: Instant) {
        let peer = self.peers.entry(peer).or_insert_with(|| PeerLoads::new(now));
        peer.at = now;
        changes.apply(&mut peer.loads);
    }

    /// Returns the loads of this entry, for its peers.
    pub fn loads(&self, now: Instant) -> BTreeMap<TargetId, TargetLoad> {
        let busy = self.targets.iter().filter(|(_, target)| !target.own.is_empty());
        busy.map(|(id, target)| (id.clone(), target.own.sum(now))).collect()
    }

    /// Chooses the target of `service` with the least cost; `entries` share the start rate of a
    /// target that may be cold.
    ///
    /// # Errors
    /// `NoTarget` if no target may be used, `Full` if those that may be used take no more work.
    pub fn choose(
        &mut self,
        service: &Service,
        need: &Need,
        tried: &[TargetId],
        waive: Waive,
        entries: usize,
        now: Instant,
    ) -> Result<Choice, Shortage> {
        let usable = self.usable(service, tried, waive, entries, now);
        if usable.iter().all(|candidate| tried.contains(candidate.id)) {
            return Err(Shortage::NoTarget);
        }
        let short = usable.iter().map(|candidate| candidate.load.short).sum::<u32>() + 1;
        let engine = service.engine.as_ref();
        if let Some(engine) = engine.filter(|engine| need.prompt + need.output > engine.memory) {
            return shared::choose(usable, engine, need).ok_or(Shortage::Full);
        }
        let packed = engine.map_or(0, |engine| packed(short, usable.len(), engine));
        let open = usable.iter().enumerate().filter(|(_, candidate)| candidate.open);
        let mut fits: Vec<(usize, Fit)> = open
            .map(|(position, candidate)| {
                (position, self.fit(candidate, service, need, position, packed))
            })
            .collect();
        if need.is_short() && engine.is_some() {
            let size = (usable.len() / entries.max(1)).max(SAMPLE);
            sample(&mut fits, &usable, need.draw, size);
        }
        let best = fits.into_iter().min_by(|(_, a), (_, b)| a.compare(b));
        let (position, fit) = best.ok_or(Shortage::Full)?;
        if engine.is_some() && need.is_short() && fit.is_late() && !need.overdue {
            return Err(Shortage::Full);
        }
        Ok(self.choice(usable, position, fit, service, need))
    }

    /// Returns the targets that may get work of `service`, in the order that all entries share.
    fn usable(
        &self,
        service: &Service,
        tried: &[TargetId],
        waive: Waive,
        entries: usize,
        now: Instant,
    ) -> Vec<Candidate<'_>> {
        let targets = self.targets.iter().filter(|(_, target)| self.may_use(target, service, now));
        let mut usable: Vec<_> = targets
            .map(|(id, target)| {
                let paused = waive == Waive::Nothing && target.health.is_paused(now);
                let starts = target.may_start(service, &self.starts, entries, now);
                let open = !paused && starts && !tried.contains(id);
                Candidate { id, target, load: self.load(id, target, now), open }
            })
            .collect();
        usable.sort_by_key(|candidate| candidate.target.order);
        usable
    }

    /// Makes the choice of the candidate at `position`, with helpers for a long prompt.
    fn choice(
        &self,
        mut candidates: Vec<Candidate<'_>>,
        position: usize,
        fit: Fit,
        service: &Service,
        need: &Need,
    ) -> Choice {
        let chosen = candidates.swap_remove(position);
        candidates.retain(|candidate| candidate.open);
        let count = candidates.len() + 1;
        let mut choice = Choice {
            target: chosen.id.clone(),
            address: chosen.target.member.address,
            load: chosen.load,
            helpers: Vec::new(),
            read_ms: 0.0,
            candidates: count,
        };
        let Some(engine) = &service.engine else { return choice };
        choice.read_ms = engine.read_ms(need.prompt);
        if need.is_short() || !fit.is_harmless() {
            return choice;
        }
        candidates.retain(|candidate| need.may_help(&candidate.load));
        candidates.sort_by(|a, b| a.load.read_ms.total_cmp(&b.load.read_ms));
        candidates.truncate(MAX_HELPERS);
        let waits: Vec<f64> =
            candidates.iter().map(|candidate| f64::from(candidate.load.read_ms)).collect();
        let parts = need.parts(choice.read_ms, f64::from(chosen.load.read_ms), &waits);
        let helpers = candidates.iter().take(parts - 1).map(|candidate| Helper {
            target: candidate.id.clone(),
            address: candidate.target.member.address,
            holds: 0,
        });
        choice.helpers = helpers.collect();
        choice.read_ms /= parts as f64;
        choice
    }

    /// Records that a request is sent to `target`; returns none if the target has gone.
    pub fn begin(&mut self, target: &str, work: Work, now: Instant) -> Option<WorkId> {
        let entry = self.targets.get_mut(target)?;
        self.next += 1;
        entry.own.insert(self.next, work);
        entry.starts.record(now);
        Some(self.next)
    }

    /// Records that `target` reads a part of a prompt; returns none if the target has gone.
    pub fn help(&mut self, target: &str, work: Work) -> Option<WorkId> {
        let entry = self.targets.get_mut(target)?;
        self.next += 1;
        entry.own.insert(self.next, work);
        Some(self.next)
    }

    /// Records that `target` no longer reads a part of a prompt.
    pub fn end_help(&mut self, target: &str, id: WorkId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.own.remove(id);
        }
    }

    /// Records that the first event of a request is here.
    pub fn first_event(&mut self, target: &str, id: WorkId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.own.first_event(id);
        }
    }

    /// Records that bytes of any answer came from `target`.
    pub fn hear(&mut self, target: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(target) {
            target.heard = Some(now);
        }
    }

    /// Returns whether `target` has sent nothing at all for `time` and the reading that waits
    /// there does not explain it.
    pub fn is_silent(&self, target: &str, time: Duration, now: Instant) -> bool {
        let Some(entry) = self.targets.get(target) else { return true };
        let reading = self.load(target, entry, now).read_ms;
        let explained = time + Duration::from_secs_f32(reading.max(0.0) / 1e3);
        entry.heard.is_none_or(|at| now.saturating_duration_since(at) >= explained)
    }

    /// Records the end of a request.
    pub fn end(&mut self, target: &str, id: Option<WorkId>, result: AttemptResult, now: Instant) {
        if let Some(target) = self.targets.get_mut(target) {
            if let Some(id) = id {
                target.own.remove(id);
            }
            target.health.record(result, now);
        }
    }

    /// Returns what the pool holds.
    pub fn view(&self) -> PoolView {
        let mut targets = BTreeMap::new();
        for target in self.targets.values() {
            *targets.entry(target.member.service.clone()).or_default() += 1;
        }
        PoolView { targets, out: self.out.clone(), peers: self.peers.len() }
    }

    fn may_use(&self, target: &Target, service: &Service, now: Instant) -> bool {
        target.member.service == service.id
            && target.member.state == MemberState::Ready
            && !self.out.contains(&target.member.zone)
            && (target.lapsed.is_none() || target.is_kept(now))
    }

    fn load(&self, id: &str, target: &Target, now: Instant) -> TargetLoad {
        let mut load = target.own.sum(now);
        for peer in self.peers.values() {
            if now.saturating_duration_since(peer.at) <= PEER_EXPIRY {
                load.add(peer.loads.get(id).unwrap_or(&TargetLoad::default()));
            }
        }
        load
    }

    fn fit(
        &self,
        candidate: &Candidate<'_>,
        service: &Service,
        need: &Need,
        position: usize,
        packed: usize,
    ) -> Fit {
        let target = candidate.target;
        let fit = match &service.engine {
            Some(engine) => need.fit(&candidate.load, engine, position, packed),
            None => Fit::of_application(&candidate.load),
        };
        let near = target.member.zone == self.zone;
        let zoned = if near { fit } else { fit.scaled(ZONE_COST) };
        zoned.scaled(1.0 / (1.0 - target.health.failure_rate()).max(0.05))
    }
}

/// Leaves a few of the fits of the best class, which differ from draw to draw: entries that know
/// the same do not all send to the same target.
fn sample(fits: &mut Vec<(usize, Fit)>, candidates: &[Candidate<'_>], draw: u64, size: usize) {
    let best = fits.iter().map(|(_, fit)| fit.class()).min();
    fits.retain(|(_, fit)| Some(fit.class()) == best);
    fits.sort_by_key(|(position, _)| {
        XxHash64::oneshot(draw, &candidates[*position].target.order.to_le_bytes())
    });
    fits.truncate(size);
}
