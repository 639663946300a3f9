//! Prefixes of prompts that targets may have in their caches, by the setting `--prefix-affinity`.

use fulmarhead_lib::{
    control::{Load, Report},
    cost::Cost,
    ids::{TargetId, Tokens},
    routing::{
        Affinity, AffinityKind, Candidate, Directory, Hit, PrefixCaches, PrefixHashes, Query,
    },
};
use std::{collections::BTreeMap, time::Instant};

/// What the entry knows about cached prefixes.
pub(crate) enum Prefixes {
    /// State of [`AffinityKind::RecentSends`].
    Recent(Affinity),
    /// State of [`AffinityKind::ExpectedSaving`].
    Expected(PrefixCaches),
}

/// Candidates with their expected cached tokens, and the hits from which these follow.
pub(crate) struct PrefixCandidates {
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) hits: BTreeMap<TargetId, Hit>,
}

impl Prefixes {
    pub(crate) fn new(kind: AffinityKind) -> Self {
        match kind {
            AffinityKind::RecentSends => Self::Recent(Affinity::default()),
            AffinityKind::ExpectedSaving => Self::Expected(PrefixCaches::default()),
        }
    }

    /// Returns the candidates for a prompt.
    pub(crate) fn candidates(
        &self,
        directory: &Directory,
        query: Query<'_>,
        prefixes: &PrefixHashes,
        cost: Cost,
    ) -> PrefixCandidates {
        match self {
            Self::Recent(affinity) => {
                let cached = affinity.cached_tokens(prefixes, query.now);
                let candidates = directory.sample(query, &cached);
                PrefixCandidates { candidates, hits: BTreeMap::new() }
            }
            Self::Expected(caches) => {
                let hits = caches.hits(prefixes, query.now);
                let mut candidates = directory.sample(query, &caches.attracting(&hits));
                caches.weigh(&hits, &mut candidates, cost);
                PrefixCandidates { candidates, hits }
            }
        }
    }

    /// Records that a target accepted a prompt.
    pub(crate) fn record_accepted(&mut self, prefixes: &PrefixHashes, target: &str, now: Instant) {
        if let Self::Recent(affinity) = self {
            affinity.record(prefixes, target, now);
        }
    }

    /// Records that a target sent the first item of its answer to a prompt.
    pub(crate) fn record_served(&mut self, prefixes: &PrefixHashes, target: &str, now: Instant) {
        if let Self::Expected(caches) = self {
            caches.record_served(prefixes, target, now);
        }
    }

    /// Records that a request is sent to a target.
    pub(crate) fn record_send(&mut self, target: &str, cost: Cost) {
        if let Self::Expected(caches) = self {
            caches.record_send(target, cost);
        }
    }

    /// Records a report of the agent of a target.
    pub(crate) fn record_report(&mut self, report: &Report) {
        if let Self::Expected(caches) = self {
            caches.record_report(&report.target, report.incarnation, &report.load);
        }
    }

    /// Records the load in a response to work.
    pub(crate) fn record_load(&mut self, target: &str, load: &Load) {
        if let Self::Expected(caches) = self {
            caches.record_load(target, load);
        }
    }

    /// Records that work at a target failed or broke off.
    pub(crate) fn record_failure(&mut self, target: &str) {
        if let Self::Expected(caches) = self {
            caches.record_failure(target);
        }
    }

    /// Learns from the cached tokens of an answer.
    pub(crate) fn record_outcome(
        &mut self,
        candidate: &Candidate,
        hit: &Hit,
        cost: Cost,
        cached: Tokens,
    ) {
        if let Self::Expected(caches) = self {
            caches.record_outcome(candidate, hit, cost, cached);
        }
    }

    /// Forgets the targets for which `keep` is false.
    pub(crate) fn retain_targets(&mut self, keep: impl Fn(&str) -> bool) {
        if let Self::Expected(caches) = self {
            caches.retain_targets(keep);
        }
    }
}
