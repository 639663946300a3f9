//! Runs of targets that have left, which a list of a store that has come back from a copy can show
//! again.

use super::Member;
use crate::ids::TargetId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime},
};

/// Time for which a departure is kept, far above the age of a copy that the store comes back from.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(60);

/// One run of a target. Restarted targets can keep their identifier.
type Run = (TargetId, Option<SystemTime>);

/// The runs of targets that were removed from the list, drained or replaced by a later run.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    departed_at: BTreeMap<Run, Instant>,
    /// Time until which the list may have records of departed runs.
    outdated_until: Option<Instant>,
}

impl Departures {
    /// Records that the list may have records of departed runs until `until`.
    pub(super) fn begin_return(&mut self, until: Instant) {
        self.outdated_until = Some(until);
    }

    /// Records that the run of `member` has left at `now`, and forgets the oldest departures.
    pub(super) fn record(&mut self, member: &Member, now: Instant) {
        self.departed_at.insert(run(member), now);
        self.departed_at.retain(|_, at| now.saturating_duration_since(*at) < DEPARTURE_LIFETIME);
    }

    /// Returns whether the record `member` is of a run that has left before, while the list may have
    /// such records.
    pub(super) fn is_outdated(&self, member: &Member, now: Instant) -> bool {
        self.is_list_outdated(now) && self.departed_at.contains_key(&run(member))
    }

    fn is_list_outdated(&self, now: Instant) -> bool {
        self.outdated_until.is_some_and(|until| now < until)
    }

    /// Returns the time until which a listed target gets no requests, as its run has left before and
    /// the record may be of a time before that. Any other listing shows that the run goes on.
    pub(super) fn record_listing(&mut self, member: &Member, now: Instant) -> Option<Instant> {
        if self.is_list_outdated(now) {
            return self.outdated_until.filter(|_| self.is_outdated(member, now));
        }
        self.departed_at.remove(&run(member));
        None
    }
}

fn run(member: &Member) -> Run {
    (member.id.clone(), member.started_at)
}
