//! Limits on the requests of all entries together that targets in need name in their responses.
//!
//! A limit belongs to one run of a target, and ends when the target responds without it.

use crate::{ids::TargetId, limits::RequestRate};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime},
};
use strum::IntoStaticStr;

/// Time after which a limit is forgotten that no response has named, changed or ended.
const LIMIT_LIFETIME: Duration = Duration::from_secs(3_600);

/// Maximum number of runs of targets whose limits are kept; the oldest are forgotten first.
const MAX_LIMITS: usize = 4_096;

/// One run of a target: its identifier and start time.
pub(super) type Run = (TargetId, Option<SystemTime>);

/// What a response says about the request rate that its target accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateNotice {
    /// Nothing.
    #[default]
    Absent,
    /// The target has no limit.
    Unlimited,
    /// The target accepts this rate from all entries together.
    Limited(RequestRate),
}

/// Change of the limit of a target, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LimitChange {
    /// The target has named its first limit, or one after a time without.
    Named(RequestRate),
    /// The target has changed its limit.
    Changed(RequestRate),
    /// The target no longer names a limit.
    Ended,
}

impl LimitChange {
    /// Returns the change from the limit `before` to `after`, if they differ.
    fn between(before: Option<RequestRate>, after: Option<RequestRate>) -> Option<Self> {
        match (before, after) {
            _ if before == after => None,
            (None, Some(rate)) => Some(Self::Named(rate)),
            (Some(_), Some(rate)) => Some(Self::Changed(rate)),
            (_, None) => Some(Self::Ended),
        }
    }
}

/// Limit of one run of a target.
#[derive(Clone, Copy, Debug)]
struct RequestLimit {
    /// Rate that the target accepts; `None` once the limit has ended.
    rate: Option<RequestRate>,
    changed_at: Instant,
}

/// The limits of all targets.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestLimits {
    by_run: BTreeMap<Run, RequestLimit>,
}

impl RequestLimits {
    /// Records what a response of `run` says, and returns the change if it says something new. The
    /// request was sent at `sent_at`.
    ///
    /// A response to a request that was sent before the last change may be older than that, and
    /// counts only if it lowers the limit.
    pub(super) fn record(
        &mut self,
        run: Run,
        notice: RateNotice,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let rate = match notice {
            RateNotice::Absent => return None,
            RateNotice::Unlimited => None,
            RateNotice::Limited(rate) => Some(rate),
        };
        let known = self.by_run.get(&run);
        let before = known.and_then(|known| known.rate);
        let change = LimitChange::between(before, rate)?;
        let may_be_older = known.is_some_and(|known| sent_at < known.changed_at);
        if may_be_older && !is_lower(rate, before) {
            return None;
        }
        self.evict(now);
        self.by_run.insert(run, RequestLimit { rate, changed_at: now });
        Some(change)
    }

    /// Returns the targets with a limit.
    pub(super) fn named(&self) -> impl Iterator<Item = (TargetId, RequestRate)> {
        let limits = self.by_run.iter();
        limits.filter_map(|((target, _), limit)| Some((target.clone(), limit.rate?)))
    }

    fn evict(&mut self, now: Instant) {
        self.by_run
            .retain(|_, limit| now.saturating_duration_since(limit.changed_at) < LIMIT_LIFETIME);
        if self.by_run.len() < MAX_LIMITS {
            return;
        }
        let oldest = self.by_run.iter().min_by_key(|(_, limit)| limit.changed_at);
        if let Some(run) = oldest.map(|(run, _)| run.clone()) {
            self.by_run.remove(&run);
        }
    }
}

/// Returns whether `rate` allows less than `other`; no limit allows most.
fn is_lower(rate: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    rate.is_some_and(|rate| other.is_none_or(|other| rate < other))
}
