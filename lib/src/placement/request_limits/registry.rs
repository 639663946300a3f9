//! The limits that one entry knows, and what it tells its peers about them.

use super::{
    LimitChange, LimitNews, LimitSummary, LimitVersion, RateNotice, Run,
    division::Division,
    limit::{Ended, Limit, Named},
};
use crate::{ids::TargetId, limits::RequestRate};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

/// Time after which a limit is forgotten of which nothing was heard.
const LIMIT_LIFETIME: Duration = Duration::from_secs(3_600);

/// Maximum number of runs of targets whose limits are kept, and of those whose limits have ended;
/// the oldest are forgotten first.
const MAX_LIMITS: usize = 4_096;

/// The limits of all targets.
#[derive(Clone, Debug, Default)]
pub(in crate::placement) struct RequestLimits {
    division: Division,
    version: LimitVersion,
    named: BTreeMap<Run, Limit<Named>>,
    ended: BTreeMap<Run, Limit<Ended>>,
}

impl RequestLimits {
    /// Sets the entries among which limits are divided. `own` is the address of this one.
    pub(super) fn set_entries(
        &mut self,
        own: SocketAddr,
        entries: BTreeSet<SocketAddr>,
        now: Instant,
    ) {
        self.division = Division::new(own, entries);
        for ((target, _), limit) in &mut self.named {
            limit.set_allowance(self.division.allowance(target, limit.rate()), now);
        }
    }

    /// Records what a response of `run` says, and returns the change if it says something new. The
    /// request was sent at `sent_at`; `recent_sends` is the number of requests that this entry sent
    /// in the last second.
    ///
    /// A response to a request that was sent before the last change may be older than that, and
    /// counts only if it lowers the limit.
    pub(super) fn record(
        &mut self,
        run: Run,
        notice: RateNotice,
        sent_at: Instant,
        recent_sends: usize,
        now: Instant,
    ) -> Option<LimitChange> {
        let rate = match notice {
            RateNotice::Absent => return None,
            RateNotice::Unlimited => None,
            RateNotice::Limited(rate) => Some(rate),
        };
        let before = self.rate(&run);
        let change = LimitChange::between(before, rate)?;
        let may_be_older = self.changed_at(&run).is_some_and(|changed_at| sent_at < changed_at);
        if may_be_older && !is_lower(rate, before) {
            return None;
        }
        let serial = self.serial(&run) + 1;
        self.apply(run, serial, rate, recent_sends, now);
        Some(change)
    }

    /// Applies what a peer knows, and returns the changes. `recent_sends` returns the number of
    /// requests that this entry sent to a target in the last second.
    pub(super) fn merge(
        &mut self,
        news: Vec<LimitNews>,
        recent_sends: impl Fn(&str) -> usize,
        now: Instant,
    ) -> Vec<(TargetId, LimitChange)> {
        let mut changes = Vec::new();
        for LimitNews { target, started_at, serial, rate, idle } in news {
            let run = (target, started_at);
            let (known_serial, before) = (self.serial(&run), self.rate(&run));
            let is_newer = serial > known_serial;
            if is_newer || serial == known_serial && is_lower(rate, before) {
                let recent_sends = recent_sends(&run.0);
                self.apply(run.clone(), serial, rate, recent_sends, now);
                changes.extend(LimitChange::between(before, rate).map(|it| (run.0.clone(), it)));
            }
            if let Some(sent_at) = now.checked_sub(idle) {
                self.update(&run, |limit| limit.learn_send(sent_at));
            }
        }
        changes
    }

    /// Returns what changed after `version`, and the present version.
    pub(super) fn news_since(
        &self,
        version: LimitVersion,
        now: Instant,
    ) -> (Vec<LimitNews>, LimitVersion) {
        if version == self.version {
            return (Vec::new(), version);
        }
        let news = |(target, started_at): &Run, serial, rate, idle| LimitNews {
            target: target.clone(),
            started_at: *started_at,
            serial,
            rate,
            idle,
        };
        let named = self.named.iter().filter(|(_, limit)| limit.version > version);
        let named =
            named.map(|(run, limit)| news(run, limit.serial, Some(limit.rate()), limit.idle(now)));
        let ended = self.ended.iter().filter(|(_, limit)| limit.version > version);
        let ended = ended.map(|(run, limit)| news(run, limit.serial, None, Duration::ZERO));
        (named.chain(ended).collect(), self.version)
    }

    /// Returns the time until this entry may send a request to the run of `target` that began at
    /// `started_at`, or `None` if that has no limit.
    pub(in crate::placement) fn wait(
        &self,
        target: &str,
        started_at: Option<SystemTime>,
        now: Instant,
    ) -> Option<Duration> {
        if self.named.is_empty() {
            return None;
        }
        let limit = self.named.get(&(target.to_owned(), started_at))?;
        Some(limit.wait(now))
    }

    /// Records that this entry sends a request to the run of `target` that began at `started_at`.
    pub(in crate::placement) fn record_send(
        &mut self,
        target: &str,
        started_at: Option<SystemTime>,
        now: Instant,
    ) {
        if !self.named.is_empty() {
            self.update(&(target.to_owned(), started_at), |limit| limit.record_send(now));
        }
    }

    /// Returns the runs of targets with a limit, each with the limit and what this entry uses of it.
    pub(super) fn summaries(&self) -> impl Iterator<Item = (&Run, LimitSummary)> {
        let limits = self.named.iter();
        limits.map(|(run, limit)| (run, LimitSummary { rate: limit.rate(), share: limit.share() }))
    }

    fn rate(&self, run: &Run) -> Option<RequestRate> {
        self.named.get(run).map(Limit::rate)
    }

    fn serial(&self, run: &Run) -> u64 {
        let named = self.named.get(run).map(|limit| limit.serial);
        named.or_else(|| self.ended.get(run).map(|limit| limit.serial)).unwrap_or(0)
    }

    fn changed_at(&self, run: &Run) -> Option<Instant> {
        let named = self.named.get(run).map(|limit| limit.changed_at);
        named.or_else(|| self.ended.get(run).map(|limit| limit.changed_at))
    }

    /// Applies a change of the limit of `run`.
    fn apply(
        &mut self,
        run: Run,
        serial: u64,
        rate: Option<RequestRate>,
        recent_sends: usize,
        now: Instant,
    ) {
        self.evict(now);
        self.version += 1;
        let version = self.version;
        let Some(rate) = rate else {
            let mut limit = match self.named.remove(&run) {
                Some(limit) => limit.end(serial, now),
                None => Limit::<Ended>::new(serial, now),
            };
            limit.version = version;
            self.ended.insert(run, limit);
            return;
        };
        self.ended.remove(&run);
        let allowance = self.division.allowance(&run.0, rate);
        let limit = self
            .named
            .entry(run)
            .or_insert_with(|| Limit::<Named>::new(serial, rate, allowance, recent_sends, now));
        limit.change(serial, rate, now);
        limit.set_allowance(allowance, now);
        limit.version = version;
    }

    /// Updates the limit of `run` if it has one. `update` returns whether peers are to be told.
    fn update(&mut self, run: &Run, update: impl FnOnce(&mut Limit<Named>) -> bool) {
        if let Some(limit) = self.named.get_mut(run)
            && update(limit)
        {
            self.version += 1;
            limit.version = self.version;
        }
    }

    fn evict(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIMIT_LIFETIME;
        self.named.retain(|_, limit| is_recent(limit.used_at()));
        self.ended.retain(|_, limit| is_recent(limit.changed_at));
        if self.named.len() >= MAX_LIMITS {
            let oldest = self.named.iter().min_by_key(|(_, limit)| limit.used_at());
            let oldest = oldest.map(|(run, _)| run.clone());
            oldest.and_then(|run| self.named.remove(&run));
        }
        if self.ended.len() >= MAX_LIMITS {
            let oldest = self.ended.iter().min_by_key(|(_, limit)| limit.changed_at);
            let oldest = oldest.map(|(run, _)| run.clone());
            oldest.and_then(|run| self.ended.remove(&run));
        }
    }
}

/// Returns whether `rate` allows less than `other`; no limit allows most.
fn is_lower(rate: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    rate.is_some_and(|rate| other.is_none_or(|other| rate < other))
}
