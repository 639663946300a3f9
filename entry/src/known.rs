//! What an entry knows of the targets. All of it is a hint; agents decide.

use fulmarhead_lib::{
    admission::Phase,
    config::Fleet,
    control::{Load, Report},
    ids::{Incarnation, TargetId, Tokens},
    routing::Candidate,
};
use fulmarhead_runtime::control::Peer;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Age of a report after which its target is not chosen any more.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// What an entry knows of one target.
#[derive(Clone, Default)]
pub(crate) struct Known {
    pub(crate) report: Option<(Report, Instant)>,
    pub(crate) peer: Option<Peer>,
    pub(crate) inflight: u32,
    pub(crate) prefill: Tokens,
}

/// What an entry knows of all targets.
#[derive(Clone, Default)]
pub(crate) struct KnownTargets(BTreeMap<TargetId, Known>);

impl KnownTargets {
    /// Records a report.
    pub(crate) fn report(&mut self, report: Report, now: Instant) {
        let known = self.0.entry(report.target.clone()).or_default();
        known.report = Some((report, now));
    }

    /// Records the load that came with an answer.
    pub(crate) fn load(&mut self, target: &str, load: Load) {
        if let Some((report, _)) = self.0.get_mut(target).and_then(|known| known.report.as_mut()) {
            report.load = load;
        }
    }

    /// Records the control connection to the agent of a target, or its loss.
    ///
    /// The last report is kept until it is too old: a connection that is set up again at once
    /// must not break off the work at the target.
    pub(crate) fn connect(&mut self, target: &str, peer: Option<Peer>) {
        self.0.entry(target.to_owned()).or_default().peer = peer;
    }

    /// Forgets targets that the configuration does not name.
    pub(crate) fn retain(&mut self, fleet: &Fleet) {
        self.0.retain(|id, known| known.inflight > 0 || fleet.target(id).is_some());
    }

    /// Counts an attempt that is sent to a target.
    pub(crate) fn begin(&mut self, target: &str, prompt: Tokens) {
        let known = self.0.entry(target.to_owned()).or_default();
        known.inflight += 1;
        known.prefill += prompt;
    }

    /// Counts the first token of an attempt.
    pub(crate) fn first_token(&mut self, target: &str, prompt: Tokens) {
        if let Some(known) = self.0.get_mut(target) {
            known.prefill = known.prefill.saturating_sub(prompt);
        }
    }

    /// Counts the end of an attempt.
    pub(crate) fn end(&mut self, target: &str) {
        if let Some(known) = self.0.get_mut(target) {
            known.inflight = known.inflight.saturating_sub(1);
        }
    }

    /// Returns the control connection to the agent of a target.
    pub(crate) fn peer(&self, target: &str) -> Option<Peer> {
        self.0.get(target).and_then(|known| known.peer.clone())
    }

    /// Returns whether the agent of a target has not reported for so long that work at it counts
    /// as lost.
    pub(crate) fn is_lost(&self, target: &str, now: Instant) -> bool {
        let report = self.0.get(target).and_then(|known| known.report.as_ref());
        report.is_none_or(|(_, at)| now.saturating_duration_since(*at) > REPORT_LIFETIME)
    }

    /// Returns the life of the agent of a target, from its last report.
    pub(crate) fn incarnation(&self, target: &str) -> Option<Incarnation> {
        let (report, _) = self.0.get(target)?.report.as_ref()?;
        Some(report.incarnation)
    }

    /// Returns the targets that serve `model` and take work, without those in `tried`.
    pub(crate) fn engines(
        &self,
        fleet: &Fleet,
        model: &str,
        tried: &BTreeSet<TargetId>,
        now: Instant,
    ) -> Vec<Candidate> {
        self.candidates(fleet, tried, now, |report| report.models.iter().any(|id| id == model))
    }

    /// Returns the targets that serve `application` and take work, without those in `tried`.
    pub(crate) fn workers(
        &self,
        fleet: &Fleet,
        application: &str,
        tried: &BTreeSet<TargetId>,
        now: Instant,
    ) -> Vec<Candidate> {
        self.candidates(fleet, tried, now, |report| {
            report.application.as_deref() == Some(application)
        })
    }

    fn candidates(
        &self,
        fleet: &Fleet,
        tried: &BTreeSet<TargetId>,
        now: Instant,
        serves: impl Fn(&Report) -> bool,
    ) -> Vec<Candidate> {
        let usable = fleet
            .targets
            .iter()
            .filter(|target| fleet.in_service(target) && !tried.contains(&target.id));
        usable
            .filter_map(|target| {
                let known = self.0.get(&target.id)?;
                let (report, at) = known.report.as_ref()?;
                let age = now.saturating_duration_since(*at);
                let connected = known.peer.is_some();
                let takes_work =
                    connected && report.phase == Phase::Serving && age <= REPORT_LIFETIME;
                (takes_work && serves(report)).then(|| Candidate {
                    target: target.id.clone(),
                    zone: target.zone.clone(),
                    load: report.load,
                    age,
                    inflight: known.inflight,
                    prefill: known.prefill,
                    cached: 0,
                })
            })
            .collect()
    }

    /// Returns all reports with their age.
    pub(crate) fn reports(&self, now: Instant) -> Vec<(Report, Duration)> {
        let reports = self.0.values().filter_map(|known| known.report.as_ref());
        reports.map(|(report, at)| (report.clone(), now.saturating_duration_since(*at))).collect()
    }
}
