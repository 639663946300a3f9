//! State of the targets of all services.

use super::{
    AttemptResult, Choice, ConnectionId, LimitSummary, LoadDelta, Member, MemberState, Notice,
    NoticeEffect, ReportSource, TargetLoad, Work, WorkId, demand::RecentSends,
    departures::Departures, forecast::RecentWork, notices::Notices, outages::Outages,
    reports::Reports, request_limits::RequestLimits, target::Target, zones::ExcludedZones,
};
use crate::{
    ids::{ServiceId, TargetId, ZoneId},
    limits::StartBound,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// State of the targets of all services, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Pool {
    pub(super) zone: ZoneId,
    pub(super) start_bound: StartBound,
    pub(super) targets: BTreeMap<TargetId, Target>,
    pub(super) reports: Reports,
    pub(super) excluded_zones: ExcludedZones,
    departures: Departures,
    pub(super) notices: Notices,
    pub(super) request_limits: RequestLimits,
    pub(super) outages: Outages,
    pub(super) recent_work: RecentWork,
    /// Time of the first selection since the loads of the other entries are not known.
    pub(super) unknown_since: Option<Instant>,
    last_id: WorkId,
    pub(super) recent_sends: BTreeMap<ServiceId, RecentSends>,
}

/// Summary of a pool for state dumps.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSummary {
    /// Number of targets of each service.
    pub targets: BTreeMap<ServiceId, usize>,
    /// Zones whose targets get no requests.
    pub excluded_zones: BTreeSet<ZoneId>,
    /// Targets that name a limit on their requests, each with its limit.
    pub request_limits: BTreeMap<TargetId, LimitSummary>,
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
            excluded_zones: ExcludedZones::default(),
            departures: Departures::default(),
            notices: Notices::default(),
            request_limits: RequestLimits::default(),
            outages: Outages::default(),
            recent_work: RecentWork::default(),
            unknown_since: None,
            last_id: 0,
            recent_sends: BTreeMap::new(),
        }
    }

    /// Replaces the list of targets.
    ///
    /// A target that is missing from the list remains usable for `missing_grace`, during which it
    /// may be live; if that is zero, it is drained.
    pub fn update_members(
        &mut self,
        members: BTreeMap<TargetId, Member>,
        missing_grace: Duration,
        now: Instant,
    ) {
        for (id, target) in &mut self.targets {
            let is_same_run = |it: &&Member| it.started_at == target.member.started_at;
            let listed = members.get(id);
            match listed.filter(|it| is_same_run(it) || !self.departures.is_outdated(it, now)) {
                Some(member) => {
                    if !is_same_run(&member) {
                        self.departures.record(&target.member, now);
                    }
                    target.update_member(member);
                }
                None if !missing_grace.is_zero() => {
                    target.missing_until = Some(now + missing_grace)
                }
                None => target.member.state = MemberState::Draining,
            }
            if target.member.state == MemberState::Draining {
                self.departures.record(&target.member, now);
            }
        }
        self.targets.retain(|id, target| members.contains_key(id) || !target.is_removable(now));
        for (id, member) in members {
            let target = self.targets.entry(id).or_insert_with(|| Target::new(member));
            if target.member.state == MemberState::Ready && target.missing_until.is_none() {
                target.withheld_until = self.departures.record_listing(&target.member, now);
            }
        }
    }

    /// Records that the store has come back from a copy at `now`, whose records of targets may be
    /// outdated for the time `outdated_for`. Runs that are known to have left get no requests in that
    /// time.
    pub fn record_return(&mut self, outdated_for: Duration, now: Instant) {
        self.departures.begin_return(now + outdated_for);
    }

    /// Sets the zones whose targets get no new requests.
    pub fn exclude_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.excluded_zones.replace(zones);
    }

    /// Records that the store has come back from a copy at `now`, which may lack zones that the
    /// operator has taken out of service. They stay excluded until the operator has written them
    /// again, at most for some seconds.
    pub fn keep_excluded_zones(&mut self, now: Instant) {
        self.excluded_zones.record_return(now);
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

    /// Records what a response of the target of `choice` says about further requests, and returns
    /// the effect if it is a new one.
    pub fn record_notice(
        &mut self,
        choice: &Choice,
        notice: Notice,
        now: Instant,
    ) -> Option<NoticeEffect> {
        self.notices.record(&choice.target, choice.started_at, notice, now)
    }

    /// Returns whether the target of `choice` wants requests of this entry at `now`, which may have
    /// changed since it was selected.
    pub fn wants_requests(&self, choice: &Choice, now: Instant) -> bool {
        let Choice { target, started_at, .. } = choice;
        !self.notices.is_leaving(target, *started_at)
            && self.notices.pause(target, *started_at, now).is_none()
            && self.request_limits.wait(target, *started_at, now).is_none_or(|it| it.is_zero())
    }

    /// Records that a request is sent to `target`; returns `None` if the pool has no such target.
    pub fn begin_request(&mut self, target: &str, work: Work, now: Instant) -> Option<WorkId> {
        let state = self.targets.get_mut(target)?;
        self.last_id += 1;
        self.recent_work.record(&work);
        state.in_flight.insert(self.last_id, work);
        state.recent_starts.record(now);
        self.request_limits.record_send(target, state.member.started_at, now);
        self.outages.record_send(&state.member.zone, now);
        if work.is_latency_sensitive() {
            let service = state.member.service.clone();
            self.recent_sends.entry(service).or_default().record(work.prefill_ms, now);
        }
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
            self.outages.record_activity(&target.member.zone);
        }
    }

    /// Returns whether `target` has sent nothing for at least `timeout` plus the prefill time of
    /// its queue. A target that has never sent anything or is not in the pool counts as silent.
    pub fn is_silent(&self, target: &str, timeout: Duration, now: Instant) -> bool {
        let Some(state) = self.targets.get(target) else { return true };
        let prefill = self.load(target, state, now).prefill_ms;
        let prefill = Duration::try_from_secs_f32(prefill.max(0.0) / 1e3).unwrap_or(Duration::MAX);
        let max_silence = timeout.saturating_add(prefill);
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
        let Some(state) = self.targets.get_mut(target) else { return };
        if let Some(id) = id {
            state.in_flight.remove(id);
        }
        state.health.record(result, now);
        if result == AttemptResult::Unreachable {
            self.outages.record_failure(&state.member.zone, target, now);
        }
    }

    /// Records that the target of a prompt could not reach `helper`.
    pub fn record_helper_unreachable(&mut self, helper: &str, now: Instant) {
        self.end_request(helper, None, AttemptResult::Unreachable, now);
    }

    /// Returns a summary of the pool for state dumps.
    pub fn summary(&self) -> PoolSummary {
        let mut targets = BTreeMap::new();
        for target in self.targets.values() {
            *targets.entry(target.member.service.clone()).or_default() += 1;
        }
        PoolSummary {
            targets,
            excluded_zones: self.excluded_zones.listed().clone(),
            request_limits: self.limit_summaries(),
            reports: self.reports.source_count(),
        }
    }

    pub(super) fn load(&self, id: &str, target: &Target, now: Instant) -> TargetLoad {
        let mut load = target.in_flight.total_load(now);
        load.add(&self.load_of_others(id, target, now));
        load
    }
}
