//! Limits of the targets of a pool.

use super::{LimitChange, LimitNews, LimitVersion, RateNotice};
use crate::{
    ids::TargetId,
    limits::RequestRate,
    placement::{Choice, Pool},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Instant, SystemTime},
};

/// Limit of a target, for state dumps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSummary {
    /// Rate that the target accepts from all entries together.
    pub rate: RequestRate,
    /// Requests a second that this entry may send to the target; 0 without a share.
    pub share: f64,
}

impl Pool {
    /// Sets the entries among which the limits of targets are divided. `own` is the address of this
    /// one.
    pub fn set_entries(&mut self, own: SocketAddr, entries: BTreeSet<SocketAddr>, now: Instant) {
        self.request_limits.set_entries(own, entries, now);
    }

    /// Records what a response of the target of `choice` says about the request rate that it accepts,
    /// and returns the change if it says something new. The request was sent at `sent_at`.
    pub fn record_rate(
        &mut self,
        choice: &Choice,
        notice: RateNotice,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let run = (choice.target.clone(), choice.started_at);
        let recent_sends = self.recent_sends_to(&choice.target, now);
        self.request_limits.record(run, notice, sent_at, recent_sends, now)
    }

    /// Applies what a peer knows of limits, and returns the changes.
    pub fn merge_limits(
        &mut self,
        news: Vec<LimitNews>,
        now: Instant,
    ) -> Vec<(TargetId, LimitChange)> {
        let mut limits = std::mem::take(&mut self.request_limits);
        let changes = limits.merge(news, |target| self.recent_sends_to(target, now), now);
        self.request_limits = limits;
        changes
    }

    /// Returns the limits that changed after `version`, and the present version.
    pub fn limits_since(
        &self,
        version: LimitVersion,
        now: Instant,
    ) -> (Vec<LimitNews>, LimitVersion) {
        self.request_limits.news_since(version, now)
    }

    /// Returns the number of targets that limit their requests.
    pub fn limited_count(&self) -> usize {
        self.limit_summaries().len()
    }

    /// Returns the targets that limit their requests. Limits of runs that are not in the list any more
    /// are kept for a time, and are not among them.
    pub(in crate::placement) fn limit_summaries(&self) -> BTreeMap<TargetId, LimitSummary> {
        let is_present = |id: &str, started_at: Option<SystemTime>| {
            let target = self.targets.get(id);
            target.is_some_and(|target| target.member.started_at == started_at)
        };
        let summaries = self.request_limits.summaries();
        let present = summaries.filter(|((id, started_at), _)| is_present(id, *started_at));
        present.map(|((id, _), summary)| (id.clone(), summary)).collect()
    }

    /// Returns the number of requests that this entry sent to `target` in the last second.
    fn recent_sends_to(&self, target: &str, now: Instant) -> usize {
        self.targets.get(target).map_or(0, |target| target.recent_starts.count(now))
    }
}
