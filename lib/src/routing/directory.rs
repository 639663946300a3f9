//! State of the targets, as known to one entry.
//!
//! The state may be outdated and only guides routing; agents decide on admission.

use super::{
    candidate::{Candidate, UnreportedLoad},
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

/// Age of a report after which its target receives no new attempts and work at it counts as lost.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// A model or application that a group of targets serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    /// Completions of a model.
    Model(ModelId),
    /// Calls to an application.
    Application(ApplicationId),
}

/// Selects candidates from the directory.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service that the candidates must provide.
    pub service: &'a Service,
    /// Length class of the prompt.
    pub class: LengthClass,
    /// Targets to exclude, since the request has already been sent to them.
    pub tried: &'a BTreeSet<TargetId>,
    /// Random seed for the sample of a large group.
    pub seed: u64,
    /// Current time, for the age of reports and refusals.
    pub now: Instant,
}

/// State of one target.
#[derive(Clone, Debug, Default)]
struct TargetState {
    /// Zone in the configuration, or `None` if the configuration does not contain the target.
    zone: Option<ZoneId>,
    /// Whether the configuration lets the target take new work.
    in_service: bool,
    /// Whether the control connection to the agent is established.
    connected: bool,
    /// Last report, and the time when it was received.
    report: Option<(Report, Instant)>,
    /// Time when the last load was received, in a report or with a response to work.
    load_time: Option<Instant>,
    /// Attempts that this entry has sent and that have not ended.
    inflight: u32,
    unreported: UnreportedLoad,
    /// Load of the attempts that the agent has neither accepted nor refused yet.
    unacknowledged: UnreportedLoad,
    /// Time until which the target is expected to refuse requests, by length class.
    refused_until: BTreeMap<LengthClass, Instant>,
}

/// State of all targets, grouped by the services that they provide.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    targets: BTreeMap<TargetId, TargetState>,
    groups: BTreeMap<Service, Group>,
    /// Fraction of the targets of each group that accept prompts over 100,000 tokens.
    long_share: f64,
}

impl Directory {
    /// Applies a configuration.
    ///
    /// Removes the targets that it does not contain, except those at which attempts of this entry
    /// run.
    pub fn configure(&mut self, fleet: &Fleet) {
        let configured: BTreeSet<&str> = fleet.targets.iter().map(|target| &*target.id).collect();
        self.targets.retain(|id, state| state.inflight > 0 || configured.contains(&**id));
        for state in self.targets.values_mut() {
            state.zone = None;
        }
        for target in &fleet.targets {
            let state = self.targets.entry(target.id.clone()).or_default();
            state.zone = Some(target.zone.clone());
            state.in_service = fleet.in_service(target);
        }
        self.long_share = fleet.policy.long_share;
        let targets = &self.targets;
        self.groups.retain(|_, group| {
            group.retain(|id| targets.contains_key(id));
            !group.is_empty()
        });
    }

    /// Records a report that was received at `now`.
    pub fn record_report(&mut self, report: Report, now: Instant) {
        let services = services(&report);
        let state = self.targets.entry(report.target.clone()).or_default();
        let before = state.report.as_ref().map(|(report, _)| self::services(report));
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
        // The report includes accepted attempts, but not those still on the way to the agent.
        state.unreported = state.unacknowledged;
        state.load_time = Some(now);
        state.report = Some((report, now));
    }

    /// Records the load in a response to work.
    ///
    /// It does not extend the lifetime of the last report. `accepted_cost` is the cost of the
    /// attempt if the agent accepted it, so that `load` already includes it. Such an attempt may
    /// still be unacknowledged, so its cost is left out of the unreported load.
    pub fn record_load(
        &mut self,
        target: &str,
        load: Load,
        accepted_cost: Option<Cost>,
        now: Instant,
    ) {
        let Some(state) = self.targets.get_mut(target) else { return };
        if let Some((report, _)) = &mut state.report {
            report.load = load;
            state.load_time = Some(now);
            state.unreported = state.unacknowledged;
            if let Some(cost) = accepted_cost {
                state.unreported.subtract(cost);
            }
        }
    }

    /// Records whether the control connection to the agent of a target is established.
    pub fn set_connected(&mut self, target: &str, connected: bool) {
        self.targets.entry(target.to_owned()).or_default().connected = connected;
    }

    /// Adds an attempt that is being sent to a target.
    pub fn begin_attempt(&mut self, target: &str, cost: Cost) {
        let state = self.targets.entry(target.to_owned()).or_default();
        state.inflight += 1;
        state.unreported.add(cost);
        state.unacknowledged.add(cost);
    }

    /// Records that the agent of a target has accepted or refused an attempt.
    pub fn acknowledge_attempt(&mut self, target: &str, cost: Cost) {
        if let Some(state) = self.targets.get_mut(target) {
            state.unacknowledged.subtract(cost);
        }
    }

    /// Removes an attempt that ended.
    ///
    /// `before_first_token` says that it ended before its first token, so that its prompt no longer
    /// counts as waiting prefill.
    pub fn end_attempt(&mut self, target: &str, cost: Cost, before_first_token: bool) {
        if let Some(state) = self.targets.get_mut(target) {
            state.inflight = state.inflight.saturating_sub(1);
            let unreported = &mut state.unreported;
            unreported.running -= 1;
            unreported.memory -= cost.kv_tokens() as i64;
            if before_first_token {
                unreported.queue.subtract(cost);
            }
        }
    }

    /// Records that a target refused a request of `class` and may accept one again at `until`.
    pub fn record_refusal(&mut self, target: &str, class: LengthClass, until: Instant) {
        if let Some(state) = self.targets.get_mut(target) {
            state.refused_until.insert(class, until);
        }
    }

    /// Returns whether work at a target counts as lost, because its agent never reported or its
    /// last report is older than three seconds.
    pub fn is_lost(&self, target: &str, now: Instant) -> bool {
        let report = self.targets.get(target).and_then(|state| state.report.as_ref());
        report.is_none_or(|(_, at)| now.saturating_duration_since(*at) > REPORT_TTL)
    }

    /// Returns the incarnation of the agent of a target, from its last report.
    pub fn incarnation(&self, target: &str) -> Option<Incarnation> {
        let (report, _) = self.targets.get(target)?.report.as_ref()?;
        Some(report.incarnation)
    }

    /// Returns the last report of each target with its age.
    pub fn reports(&self, now: Instant) -> Vec<(&Report, Duration)> {
        let reports = self.targets.values().filter_map(|state| state.report.as_ref());
        reports.map(|(report, at)| (report, now.saturating_duration_since(*at))).collect()
    }

    /// Returns candidates for a request: all targets of a small group or a sample of a large one,
    /// and the targets in `cached_tokens`, which maps targets to the number of prompt tokens that
    /// they probably have in their cache.
    pub fn sample(
        &self,
        query: Query<'_>,
        cached_tokens: &BTreeMap<TargetId, u64>,
    ) -> Vec<Candidate> {
        let Some(group) = self.groups.get(query.service) else { return Vec::new() };
        let mut candidates: Vec<Candidate> = group
            .sample(query.seed, self.long_share, |id| self.is_usable(id, query))
            .into_iter()
            .filter_map(|member| self.candidate(member, query))
            .collect();
        for (target, &cached) in cached_tokens {
            let existing = candidates.iter_mut().find(|candidate| candidate.target == *target);
            if let Some(candidate) = existing {
                candidate.cached_tokens = cached;
            } else if let Some(member) = group.member(target, self.long_share) {
                let candidate = self.candidate(member, query);
                candidates.extend(
                    candidate.map(|candidate| Candidate { cached_tokens: cached, ..candidate }),
                );
            }
        }
        candidates
    }

    /// Returns all candidates for a request, without sampling, in time linear in the size of the
    /// group.
    pub fn all(&self, query: Query<'_>) -> Vec<Candidate> {
        let Some(group) = self.groups.get(query.service) else { return Vec::new() };
        group.all(self.long_share).filter_map(|member| self.candidate(member, query)).collect()
    }

    /// Returns the capacity of the usable targets of a service, at most 250 ms old.
    ///
    /// The sum takes time linear in the size of the group, so it is computed at most four times
    /// a second.
    pub fn capacity(&mut self, service: &Service, now: Instant) -> Capacity {
        let Some(group) = self.groups.get_mut(service) else { return Capacity::default() };
        if let Some(capacity) = group.capacity(now) {
            return capacity;
        }
        let mut capacity = Capacity::default();
        let (mut zones, mut usable_zones) = (BTreeSet::new(), BTreeSet::new());
        for id in group.ids() {
            let Some(state) = self.targets.get(id) else { continue };
            zones.extend(&state.zone);
            let Some((report, _)) = state.usable_report(now) else { continue };
            usable_zones.extend(&state.zone);
            capacity.rate += report.load.prefill_rate;
            capacity.memory = capacity.memory.max(report.load.kv_total);
        }
        capacity.zone_missing = usable_zones.len() < zones.len();
        group.set_capacity(capacity, now);
        capacity
    }

    fn is_usable(&self, id: &str, query: Query<'_>) -> bool {
        let state = self.targets.get(id);
        state.is_some_and(|state| state.usable_report(query.now).is_some())
            && !query.tried.contains(id)
    }

    fn candidate(&self, member: Member<'_>, query: Query<'_>) -> Option<Candidate> {
        if query.tried.contains(member.id) {
            return None;
        }
        let state = self.targets.get(member.id)?;
        let (report, at) = state.usable_report(query.now)?;
        let refused = state.refused_until.get(&query.class).is_some_and(|&until| until > query.now);
        Some(Candidate {
            target: member.id.clone(),
            zone: state.zone.clone()?,
            load: report.load,
            load_age: query.now.saturating_duration_since(state.load_time.unwrap_or(at)),
            inflight: state.inflight,
            unreported: state.unreported,
            refused,
            accepts_long: member.accepts_long,
            cached_tokens: 0,
        })
    }
}

/// Capacity of the usable targets of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Sum of the prefill rates, in tokens per second.
    pub rate: u64,
    /// KV cache of the largest engine, in tokens.
    pub memory: u64,
    /// Whether all targets of the group in some zone are unusable: out of service, not serving,
    /// disconnected, or without a recent report.
    pub zone_missing: bool,
}

impl TargetState {
    /// Returns the last report and its time if the target takes new work.
    fn usable_report(&self, now: Instant) -> Option<(&Report, Instant)> {
        let (report, at) = self.report.as_ref()?;
        let fresh = now.saturating_duration_since(*at) <= REPORT_TTL;
        let usable = self.connected && self.in_service && self.zone.is_some();
        let usable = usable && report.phase == Phase::Serving;
        (fresh && usable).then_some((report, *at))
    }
}

impl UnreportedLoad {
    fn add(&mut self, cost: Cost) {
        self.running += 1;
        self.memory += cost.kv_tokens() as i64;
        self.queue.add(cost);
    }

    fn subtract(&mut self, cost: Cost) {
        self.running -= 1;
        self.memory -= cost.kv_tokens() as i64;
        self.queue.subtract(cost);
    }
}

fn services(report: &Report) -> BTreeSet<Service> {
    let models = report.models.iter().cloned().map(Service::Model);
    models.chain(report.application.clone().map(Service::Application)).collect()
}
