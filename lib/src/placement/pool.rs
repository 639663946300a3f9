//! The targets of all services and the choice among them.

use super::{
    AttemptResult, Health, Member, MemberState, Need, TargetLoad, Work, WorkId,
    load::InFlight,
};
use crate::{
    ids::{EntryId, ServiceId, TargetId, ZoneId},
    limits::StartWindow,
    routes::Service,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};
use strum::{Display, IntoStaticStr};

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum Shortage {
    /// The service has no target that may be used.
    NoTarget,
    /// Each target has as much work as it takes.
    Full,
}

/// The target that gets a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Its load before the request.
    pub load: TargetLoad,
    /// Number of targets that were compared.
    pub candidates: usize,
}

/// Whether a choice may use targets that were tried or that failed lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waive {
    /// No.
    Nothing,
    /// Targets that failed lately may be used.
    Health,
}

/// Loads that a peer reported, and when.
#[derive(Clone, Debug)]
struct PeerLoads {
    at: Instant,
    loads: BTreeMap<TargetId, TargetLoad>,
}

/// Time after which the report of a silent peer no longer counts, a few exchanges.
const PEER_EXPIRY: Duration = Duration::from_secs(2);

/// Time that a target is kept after it lapsed beside an outage of the list, which shows it again
/// about two seconds after its return if it lives.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// Extra cost of a target in another zone, as a share: a little more than the round trip.
const ZONE_COST: f64 = 1.05;

/// Load of an application's target that counts as one request, for the order of the candidates.
const REQUEST_COST: f64 = 1_000.0;

/// One target.
#[derive(Clone, Debug)]
struct Target {
    member: Member,
    lapsed: Option<Instant>,
    own: InFlight,
    health: Health,
    starts: StartWindow,
}

/// The targets of all services.
#[derive(Clone, Debug)]
pub struct Pool {
    zone: ZoneId,
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
    /// Returns an empty pool of an entry in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        let (targets, peers) = (BTreeMap::new(), BTreeMap::new());
        Self { zone, targets, peers, out: BTreeSet::new(), next: 0 }
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
    pub fn report(&mut self, peer: EntryId, loads: BTreeMap<TargetId, TargetLoad>, now: Instant) {
        self.peers.retain(|_, peer| now.saturating_duration_since(peer.at) <= PEER_EXPIRY);
        self.peers.insert(peer, PeerLoads { at: now, loads });
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
        let mut best: Option<(f64, Choice)> = None;
        let mut candidates = 0;
        let mut usable = false;
        for (id, target) in &self.targets {
            if !self.may_use(target, service, now) || tried.contains(id) {
                continue;
            }
            usable = true;
            let paused = waive == Waive::Nothing && target.health.is_paused(now);
            if paused || !target.may_start(service, entries, now) {
                continue;
            }
            candidates += 1;
            let load = self.load(id, target, now);
            let cost = self.cost(target, &load, service, need);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let address = target.member.address;
                best = Some((cost, Choice { target: id.clone(), address, load, candidates: 0 }));
            }
        }
        let Some((_, choice)) = best else {
            return Err(if usable { Shortage::Full } else { Shortage::NoTarget });
        };
        Ok(Choice { candidates, ..choice })
    }

    /// Records that a request is sent to `target`; returns none if the target has gone.
    pub fn begin(&mut self, target: &str, work: Work, now: Instant) -> Option<WorkId> {
        let entry = self.targets.get_mut(target)?;
        self.next += 1;
        entry.own.insert(self.next, work);
        entry.starts.record(now);
        Some(self.next)
    }

    /// Records that the first event of a request is here.
    pub fn first_event(&mut self, target: &str, id: WorkId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.own.first_event(id);
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, target: &str, id: WorkId, result: AttemptResult, now: Instant) {
        if let Some(target) = self.targets.get_mut(target) {
            target.own.remove(id);
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
            && target.lapsed.is_none_or(|at| now.saturating_duration_since(at) < LAPSE_GRACE)
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

    fn cost(&self, target: &Target, load: &TargetLoad, service: &Service, need: &Need) -> f64 {
        let cost = match &service.engine {
            Some(engine) => need.cost(load, engine),
            None => f64::from(load.requests + 1) * REQUEST_COST,
        };
        let near = target.member.zone == self.zone;
        let zoned = if near { cost } else { cost * ZONE_COST };
        zoned / (1.0 - target.health.failure_rate()).max(0.05)
    }
}

impl Target {
    fn new(member: Member) -> Self {
        let own = InFlight::default();
        let (health, starts) = (Health::default(), StartWindow::default());
        Self { member, lapsed: None, own, health, starts }
    }

    /// Takes over a newer entry of the list; another life starts without a history.
    fn renew(&mut self, member: &Member) {
        if self.member.born != member.born || self.member.address != member.address {
            self.health = Health::default();
        }
        self.member = member.clone();
        self.lapsed = None;
    }

    /// Returns whether a target that is not on the list can be forgotten.
    fn is_over(&self, now: Instant) -> bool {
        let kept = self.lapsed.is_some_and(|at| now.saturating_duration_since(at) < LAPSE_GRACE);
        !kept && self.own.is_empty()
    }

    /// Returns whether one more start keeps within this entry's share of what a cold target
    /// takes. Every target counts as cold, since one can become cold before anyone knows.
    fn may_start(&self, service: &Service, entries: usize, now: Instant) -> bool {
        let rate = service.warm_up.rate;
        rate <= 0.0 || self.starts.allows(rate / entries.max(1) as f64, now)
    }
}
