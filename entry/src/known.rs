//! The targets and the control connections to their agents.

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

/// What an entry knows of all targets.
#[derive(Clone, Default)]
pub(crate) struct KnownTargets {
    pub(crate) directory: Directory,
    peers: BTreeMap<TargetId, Peer>,
}

impl KnownTargets {
    /// Records a report.
    pub(crate) fn report(&mut self, report: Report, now: Instant) {
        self.directory.record_report(report, now);
    }

    /// Records the load that came with an answer.
    pub(crate) fn load(&mut self, target: &str, load: Load, taken: Option<Cost>, now: Instant) {
        self.directory.record_load(target, load, taken, now);
    }

    /// Records the control connection to the agent of a target, or its loss.
    ///
    /// The last report is kept until it is too old: a connection that is set up again at once
    /// must not break off the work at the target.
    pub(crate) fn connect(&mut self, target: &str, peer: Option<Peer>) {
        self.directory.set_connected(target, peer.is_some());
        match peer {
            Some(peer) => self.peers.insert(target.to_owned(), peer),
            None => self.peers.remove(target),
        };
    }

    /// Forgets targets that the configuration does not name.
    pub(crate) fn retain(&mut self, fleet: &Fleet) {
        self.directory.configure(fleet);
    }

    /// Returns the control connection to the agent of a target.
    pub(crate) fn peer(&self, target: &str) -> Option<Peer> {
        self.peers.get(target).cloned()
    }

    /// Returns whether the agent of a target has not reported for so long that work at it counts
    /// as lost.
    pub(crate) fn is_lost(&self, target: &str, now: Instant) -> bool {
        self.directory.is_lost(target, now)
    }

    /// Returns the life of the agent of a target, from its last report.
    pub(crate) fn incarnation(&self, target: &str) -> Option<Incarnation> {
        self.directory.incarnation(target)
    }

    /// Returns all targets that serve `model` and take work.
    pub(crate) fn engines(&self, model: &str, now: Instant) -> Vec<Candidate> {
        let service = Service::Model(model.to_owned());
        let class = LengthClass::Long;
        self.directory.all(Query {
            service: &service,
            class,
            tried: &BTreeSet::new(),
            seed: 0,
            now,
        })
    }

    /// Returns targets that serve `application` and take work, without those in `tried`.
    pub(crate) fn workers(
        &self,
        application: &str,
        tried: &BTreeSet<TargetId>,
        seed: u64,
        now: Instant,
    ) -> Vec<Candidate> {
        let service = Service::Application(application.to_owned());
        let class = Cost::default().class();
        let query = Query { service: &service, class, tried, seed, now };
        self.directory.sample(query, &BTreeMap::new())
    }

    /// Returns all reports with their age.
    pub(crate) fn reports(&self, now: Instant) -> Vec<(&Report, Duration)> {
        self.directory.reports(now)
    }
}
