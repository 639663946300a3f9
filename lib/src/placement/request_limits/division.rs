//! Selection of the entries that may send to a limited target.

use crate::limits::{RateShare, RequestRate};
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use twox_hash::XxHash64;

/// Time without a request of any entry after which an entry without a share may send one. Otherwise
/// the target would get nothing for good if the entries that have a share get no requests.
const QUIET_TIME: Duration = Duration::from_secs(10);

/// Time of the turn of one such entry. The others learn of its request in that time, so that they
/// pass their turns.
const TURN_TIME: Duration = Duration::from_millis(400);

/// What an entry may send to a limited target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Allowance {
    /// A share of the limit.
    Share(RateShare),
    /// A request in its turn while the target gets none.
    Turn(QuietTurn),
}

/// Turn of an entry without a share. The turns of all such entries follow one another and repeat, so
/// that only one of them may send at a time, however long the target has got no requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct QuietTurn {
    place: u32,
    /// Number of entries that take turns, at least 1.
    count: u32,
}

impl QuietTurn {
    /// Returns the time until the turn begins, zero during the turn, if no entry sends a request.
    /// The target has got none for `idle`.
    pub(super) fn wait(self, idle: Duration) -> Duration {
        let first = QUIET_TIME + TURN_TIME * self.place;
        let Some(since_first) = idle.checked_sub(first) else { return first - idle };
        let cycle = (TURN_TIME * self.count).as_nanos();
        let in_cycle = since_first.as_nanos() % cycle;
        match in_cycle < TURN_TIME.as_nanos() {
            true => Duration::ZERO,
            false => Duration::from_nanos(u64::try_from(cycle - in_cycle).unwrap_or(u64::MAX)),
        }
    }
}

/// The known entries, of which one is this entry.
#[derive(Clone, Debug)]
pub(super) struct Division {
    own: SocketAddr,
    entries: BTreeSet<SocketAddr>,
}

impl Default for Division {
    /// Returns the division of an entry that knows no others.
    fn default() -> Self {
        Self::new((Ipv4Addr::UNSPECIFIED, 0).into(), BTreeSet::new())
    }
}

impl Division {
    /// Returns the division among `entries` and the entry `own`.
    pub(super) fn new(own: SocketAddr, mut entries: BTreeSet<SocketAddr>) -> Self {
        entries.insert(own);
        Self { own, entries }
    }

    /// Returns what this entry may send to `target`, which accepts `rate`.
    ///
    /// The entries are ranked by hashes of the target and their addresses, so that each target has
    /// other ones, and an entry that becomes known displaces at most one of them.
    pub(super) fn allowance(&self, target: &str, rate: RequestRate) -> Allowance {
        let count = self.entries.len();
        let senders = rate.sender_count(count);
        let rank = self.rank(target);
        if rank < senders {
            return Allowance::Share(rate.share(count));
        }
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Allowance::Turn(QuietTurn { place: number(rank - senders), count: number(count - senders) })
    }

    fn rank(&self, target: &str) -> usize {
        let seed = XxHash64::oneshot(0, target.as_bytes());
        let key =
            |entry: &SocketAddr| (XxHash64::oneshot(seed, entry.to_string().as_bytes()), *entry);
        let own = key(&self.own);
        self.entries.iter().filter(|entry| key(entry) < own).count()
    }
}
