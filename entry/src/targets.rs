//! State of the targets and control connections to their agents.

use fulmarhead_lib::{
    config::Fleet,
    control::{Load, Report},
    cost::{Cost, LengthClass},
    ids::{Incarnation, TargetId},
    routing::{Candidate, Directory, Query, Service},
};
use fulmarhead_runtime::control::Peer;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// The directory of targets, and the control connections to their agents.
#[derive(Clone, Default)]
pub(crate) struct TargetRegistry {
    pub(crate) directory: Directory,
    agents: BTreeMap<TargetId, Peer>,
}

impl TargetRegistry {
    /// Records a report that was received at `now`.
    pub(crate) fn record_report(&mut self, report: Report, now: Instant) {
        self.directory.record_report(report, now);
    }

    /// Records the load in a response.
    ///
    /// `accepted_cost` is the cost of the attempt if the agent accepted it. The reported load then
    /// includes the attempt, so the entry no longer adds it.
    pub(crate) fn record_load(
        &mut self,
        target: &str,
        load: Load,
        accepted_cost: Option<Cost>,
        now: Instant,
    ) {
        self.directory.record_load(target, load, accepted_cost, now);
    }

    /// Records the control connection to the agent of a target, or its loss.
    ///
    /// The last report stays valid until it expires, so that a short interruption of the connection
    /// does not abort the work at the target.
    pub(crate) fn set_peer(&mut self, target: &str, peer: Option<Peer>) {
        self.directory.set_connected(target, peer.is_some());
        match peer {
            Some(peer) => self.agents.insert(target.to_owned(), peer),
            None => self.agents.remove(target),
        };
    }

    /// Applies a configuration to the directory.
    pub(crate) fn configure(&mut self, fleet: &Fleet) {
        self.directory.configure(fleet);
    }

    /// Returns the control connection to the agent of a target, if it is established.
    pub(crate) fn peer(&self, target: &str) -> Option<Peer> {
        self.agents.get(target).cloned()
    }

    /// Returns whether the last report of the agent of a target is so old that work at the target
    /// counts as lost.
    pub(crate) fn is_lost(&self, target: &str, now: Instant) -> bool {
        self.directory.is_lost(target, now)
    }

    /// Returns the incarnation of the agent of a target, from its last report.
    pub(crate) fn incarnation(&self, target: &str) -> Option<Incarnation> {
        self.directory.incarnation(target)
    }

    /// Returns all targets that serve `model` and accept work.
    pub(crate) fn engines(&self, model: &str, now: Instant) -> Vec<Candidate> {
        let service = Service::Model(model.to_owned());
        // The class excludes no target; it only determines the flag `refused` of the candidates.
        let class = LengthClass::Long;
        self.directory.all(Query {
            service: &service,
            class,
            tried: &BTreeSet::new(),
            seed: 0,
            now,
        })
    }

    /// Returns a sample of the targets that serve `application` and accept work, except those in
    /// `tried`.
    pub(crate) fn workers(
        &self,
        application: &str,
        tried: &BTreeSet<TargetId>,
        seed: u64,
        now: Instant,
    ) -> Vec<Candidate> {
        let service = Service::Application(application.to_owned());
        // Calls to applications have no cost in tokens, so they count as short.
        let class = Cost::default().class();
        let query = Query { service: &service, class, tried, seed, now };
        self.directory.sample(query, &BTreeMap::new())
    }

    /// Returns the last report of each target with its age.
    pub(crate) fn reports(&self, now: Instant) -> Vec<(&Report, Duration)> {
        self.directory.reports(now)
    }
}
