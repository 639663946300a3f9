//! What an entry knows of the targets. All of it is a hint; agents decide.

use super::{
    candidate::{Candidate, Since},
    group::{Group, Member},
};
use crate::{
    admission::Phase,
    config::Fleet,
    control::{Load, Report},
    cost::{Cost, LengthClass},
    ids::{ApplicationId, Incarnation, ModelId, TargetId, ZoneId},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Age of a report after which its target is not chosen any more.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// What a target serves, and so which group of targets it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    /// Completions of a model.
    Model(ModelId),
    /// Calls to an application.
    Application(ApplicationId),
}

/// What is asked of the directory.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// What the target has to serve.
    pub service: &'a Service,
    /// Class of the prompt.
    pub class: LengthClass,
    /// Targets that are left out.
    pub tried: &'a BTreeSet<TargetId>,
    /// Decides which targets of a large group are looked at.
    pub seed: u64,
    /// The time.
    pub now: Instant,
}

/// What an entry knows of one target.
#[derive(Clone, Debug, Default)]
struct Known {
    /// Zone in the configuration, none if the configuration does not name the target.
    zone: Option<ZoneId>,
    /// Whether the target takes new work by the configuration.
    in_service: bool,
    connected: bool,
    report: Option<(Report, Instant)>,
    /// Time of the last load, in a report or with an answer.
    loaded: Option<Instant>,
    inflight: u32,
    since: Since,
    /// Sent attempts that the agent has neither taken nor refused yet.
    unanswered: Since,
    refused: BTreeMap<LengthClass, Instant>,
}

/// What an entry knows of all targets.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    targets: BTreeMap<TargetId, Known>,
    groups: BTreeMap<Service, Group>,
    long_share: f64,
}

impl Directory {
    /// Takes over the targets of a configuration and forgets the others.
    pub fn configure(&mut self, fleet: &Fleet) {
        let named: BTreeSet<&str> = fleet.targets.iter().map(|target| &*target.id).collect();
        self.targets.retain(|id, known| known.inflight > 0 || named.contains(&**id));
        for known in self.targets.values_mut() {
            known.zone = None;
        }
        for target in &fleet.targets {
            let known = self.targets.entry(target.id.clone()).or_default();
            known.zone = Some(target.zone.clone());
            known.in_service = fleet.in_service(target);
        }
        self.long_share = fleet.policy.long_share;
        let targets = &self.targets;
        self.groups.retain(|_, group| {
            group.retain(|id| targets.contains_key(id));
            !group.is_empty()
        });
    }

    /// Records a report.
    pub fn report(&mut self, report: Report, now: Instant) {
        let services = services(&report);
        let known = self.targets.entry(report.target.clone()).or_default();
        let before = known.report.as_ref().map(|(report, _)| self::services(report));
        if before.as_ref() != Some(&services) {
            for service in before.unwrap_or_default().difference(&services) {
                if let Some(group) = self.groups.get_mut(service) {
                    group.remove(&report.target);
                }
            }
            for service in services {
                self.groups.entry(service).or_default().insert(&report.target);
            }
        }
        // The report shows what the agent has taken, and not what is still under way to it.
        known.since = known.unanswered;
        known.loaded = Some(now);
        known.report = Some((report, now));
    }

    /// Records the load that came with an answer; it does not count as a report.
    ///
    /// `taken` is the cost of the attempt if the load shows it already.
    pub fn load(&mut self, target: &str, load: Load, taken: Option<Cost>, now: Instant) {
        let Some(known) = self.targets.get_mut(target) else { return };
        if let Some((report, _)) = &mut known.report {
            report.load = load;
            known.loaded = Some(now);
            known.since = known.unanswered;
            if let Some(cost) = taken {
                known.since.subtract(cost);
            }
        }
    }

    /// Records whether there is a control connection to the agent of a target.
    pub fn connect(&mut self, target: &str, connected: bool) {
        self.targets.entry(target.to_owned()).or_default().connected = connected;
    }

    /// Counts an attempt that is sent to a target.
    pub fn begin(&mut self, target: &str, cost: Cost) {
        let known = self.targets.entry(target.to_owned()).or_default();
        known.inflight += 1;
        known.since.add(cost);
        known.unanswered.add(cost);
    }

    /// Counts an attempt that the agent of a target has taken or refused.
    pub fn answered(&mut self, target: &str, cost: Cost) {
        if let Some(known) = self.targets.get_mut(target) {
            known.unanswered.subtract(cost);
        }
    }

    /// Counts the end of an attempt; `waiting` says that its first token did not come.
    pub fn end(&mut self, target: &str, cost: Cost, waiting: bool) {
        if let Some(known) = self.targets.get_mut(target) {
            known.inflight = known.inflight.saturating_sub(1);
            let since = &mut known.since;
            since.running -= 1;
            since.memory -= cost.kv() as i64;
            if waiting {
                since.queue.subtract(cost);
            }
        }
    }

    /// Records that a target refused work of `class` and may take it again at `until`.
    pub fn refused(&mut self, target: &str, class: LengthClass, until: Instant) {
        if let Some(known) = self.targets.get_mut(target) {
            known.refused.insert(class, until);
        }
    }

    /// Returns whether the agent of a target has not reported for so long that work at it counts
    /// as lost.
    pub fn is_lost(&self, target: &str, now: Instant) -> bool {
        let report = self.targets.get(target).and_then(|known| known.report.as_ref());
        report.is_none_or(|(_, at)| now.saturating_duration_since(*at) > REPORT_LIFETIME)
    }

    /// Returns the life of the agent of a target, from its last report.
    pub fn incarnation(&self, target: &str) -> Option<Incarnation> {
        let (report, _) = self.targets.get(target)?.report.as_ref()?;
        Some(report.incarnation)
    }

    /// Returns all reports with their age.
    pub fn reports(&self, now: Instant) -> Vec<(&Report, Duration)> {
        let reports = self.targets.values().filter_map(|known| known.report.as_ref());
        reports.map(|(report, at)| (report, now.saturating_duration_since(*at))).collect()
    }

    /// Returns candidates for a piece of work: all of a small group, a sample of a large one, and
    /// the `favored` targets with the prompt tokens that they probably have in their cache.
    pub fn sample(&self, query: Query<'_>, favored: &BTreeMap<TargetId, u64>) -> Vec<Candidate> {
        let Some(group) = self.groups.get(query.service) else { return Vec::new() };
        let mut candidates: Vec<Candidate> = group
            .sample(query.seed, self.long_share, |id| self.is_usable(id, query))
            .into_iter()
            .filter_map(|member| self.candidate(member, query))
            .collect();
        for (target, &cached) in favored {
            let known = candidates.iter_mut().find(|candidate| candidate.target == *target);
            if let Some(candidate) = known {
                candidate.cached = cached;
            } else if let Some(member) = group.member(target, self.long_share) {
                let candidate = self.candidate(member, query);
                candidates.extend(candidate.map(|candidate| Candidate { cached, ..candidate }));
            }
        }
        candidates
    }

    /// Returns all candidates. It looks at each target of the group.
    pub fn all(&self, query: Query<'_>) -> Vec<Candidate> {
        let Some(group) = self.groups.get(query.service) else { return Vec::new() };
        group.all(self.long_share).filter_map(|member| self.candidate(member, query)).collect()
    }

    /// Returns what the targets of a group can do together, at most 250 ms old.
    ///
    /// It looks at each target of the group, and so four times a second at most.
    pub fn capacity(&mut self, service: &Service, now: Instant) -> Capacity {
        let Some(group) = self.groups.get_mut(service) else { return Capacity::default() };
        if let Some(capacity) = group.capacity(now) {
            return capacity;
        }
        let mut capacity = Capacity::default();
        let (mut expected, mut present) = (BTreeSet::new(), BTreeSet::new());
        for id in group.ids() {
            let Some(known) = self.targets.get(id) else { continue };
            expected.extend(&known.zone);
            let Some((report, _)) = known.usable(now) else { continue };
            present.extend(&known.zone);
            capacity.rate += report.load.prefill_rate;
            capacity.memory = capacity.memory.max(report.load.kv_total);
        }
        capacity.zone_missing = present.len() < expected.len();
        group.set_capacity(capacity, now);
        capacity
    }

    fn is_usable(&self, id: &str, query: Query<'_>) -> bool {
        let known = self.targets.get(id);
        known.is_some_and(|known| known.usable(query.now).is_some()) && !query.tried.contains(id)
    }

    fn candidate(&self, member: Member<'_>, query: Query<'_>) -> Option<Candidate> {
        if query.tried.contains(member.id) {
            return None;
        }
        let known = self.targets.get(member.id)?;
        let (report, at) = known.usable(query.now)?;
        let refused = known.refused.get(&query.class).is_some_and(|&until| until > query.now);
        Some(Candidate {
            target: member.id.clone(),
            zone: known.zone.clone()?,
            load: report.load,
            age: query.now.saturating_duration_since(known.loaded.unwrap_or(at)),
            inflight: known.inflight,
            since: known.since,
            refused,
            takes_long: member.takes_long,
            cached: 0,
        })
    }
}

/// What the targets of a group can do together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Prefill rate, in tokens a second.
    pub rate: u64,
    /// Memory of the largest engine, in tokens.
    pub memory: u64,
    /// Whether no target of some zone takes work, since the zone is out of service or silent.
    pub zone_missing: bool,
}

impl Known {
    /// Returns the last report if the target takes new work.
    fn usable(&self, now: Instant) -> Option<(&Report, Instant)> {
        let (report, at) = self.report.as_ref()?;
        let fresh = now.saturating_duration_since(*at) <= REPORT_LIFETIME;
        let usable = self.connected && self.in_service && self.zone.is_some();
        let usable = usable && report.phase == Phase::Serving;
        (fresh && usable).then_some((report, *at))
    }
}

impl Since {
    fn add(&mut self, cost: Cost) {
        self.running += 1;
        self.memory += cost.kv() as i64;
        self.queue.add(cost);
    }

    fn subtract(&mut self, cost: Cost) {
        self.running -= 1;
        self.memory -= cost.kv() as i64;
        self.queue.subtract(cost);
    }
}

fn services(report: &Report) -> BTreeSet<Service> {
    let models = report.models.iter().cloned().map(Service::Model);
    models.chain(report.application.clone().map(Service::Application)).collect()
}
