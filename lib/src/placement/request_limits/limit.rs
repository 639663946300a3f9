//! Life cycle of the limit of one run of a target as a typestate.
//!
//! A limit is named, and ends when the target responds without it. The target may name one again.

use super::{
    LimitVersion,
    division::{Allowance, QuietTurn},
};
use crate::limits::{RateBucket, RequestRate};
use std::time::{Duration, Instant};

/// Age of the last request that the other entries know of from which a new one is told to them.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time after which a caller may return whose entry has no share. The next one probably
/// has none either, or has used it.
const MIN_RETURN_TIME: Duration = Duration::from_millis(500);

/// State of a limit that holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Named {
    rate: RequestRate,
    usage: Usage,
    /// Time at which any entry last sent a request to the target, as far as is known.
    last_send: Instant,
    /// The same, as the other entries know it.
    told_send: Instant,
}

/// State of a limit that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended;

/// How this entry uses a limit.
#[derive(Clone, Copy, Debug)]
enum Usage {
    Share(RateBucket),
    Turn(QuietTurn),
}

/// Limit of one run of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit<S> {
    /// Number of the last change, the same at all entries.
    pub(super) serial: u64,
    /// Time at which this entry learned of the last change.
    pub(super) changed_at: Instant,
    /// Version of the last change at this entry.
    pub(super) version: LimitVersion,
    state: S,
}

impl Limit<Named> {
    /// Returns a limit that this entry learns of at `now`, after it has sent `recent_sends` requests
    /// in the last second.
    pub(super) fn new(
        serial: u64,
        rate: RequestRate,
        allowance: Allowance,
        recent_sends: usize,
        now: Instant,
    ) -> Self {
        let usage = Usage::new(allowance, recent_sends, now);
        let state = Named { rate, usage, last_send: now, told_send: now };
        Self { serial, changed_at: now, version: 0, state }
    }

    pub(super) fn rate(&self) -> RequestRate {
        self.state.rate
    }

    /// Returns the requests a second that this entry may send; 0 without a share.
    pub(super) fn share(&self) -> f64 {
        match self.state.usage {
            Usage::Share(bucket) => bucket.share().per_second,
            Usage::Turn(_) => 0.0,
        }
    }

    /// Sets the rate, which this entry learns of at `now`.
    pub(super) fn change(&mut self, serial: u64, rate: RequestRate, now: Instant) {
        (self.serial, self.changed_at, self.state.rate) = (serial, now, rate);
    }

    /// Sets what this entry may send. Its saved-up requests remain.
    pub(super) fn set_allowance(&mut self, allowance: Allowance, now: Instant) {
        match (&mut self.state.usage, allowance) {
            (Usage::Share(bucket), Allowance::Share(share)) => bucket.set_share(share, now),
            (usage, allowance) => *usage = Usage::new(allowance, 0, now),
        }
    }

    /// Returns the time until this entry may send a request, or the time after which its caller may
    /// find another entry that may.
    pub(super) fn wait(&self, now: Instant) -> Duration {
        match self.state.usage {
            Usage::Share(bucket) => bucket.wait(now),
            Usage::Turn(turn) => {
                let wait = turn.wait(self.idle(now));
                let interval = Duration::from_secs_f64(1.0 / self.state.rate.used_rate());
                wait.min(interval.max(MIN_RETURN_TIME))
            }
        }
    }

    /// Records that this entry sends a request, and returns whether the others are to be told.
    pub(super) fn record_send(&mut self, now: Instant) -> bool {
        if let Usage::Share(bucket) = &mut self.state.usage {
            bucket.record_send(now);
        }
        self.learn_send(now)
    }

    /// Records that any entry sent a request at `at`, and returns whether the others are to be told.
    pub(super) fn learn_send(&mut self, at: Instant) -> bool {
        let Named { last_send, told_send, .. } = &mut self.state;
        *last_send = at.max(*last_send);
        let is_news = at.saturating_duration_since(*told_send) >= NEWS_INTERVAL;
        if is_news {
            *told_send = at;
        }
        is_news
    }

    /// Returns the time since any entry sent a request.
    pub(super) fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.state.last_send)
    }

    /// Returns the time at which anything was last heard of the limit.
    pub(super) fn used_at(&self) -> Instant {
        self.state.last_send.max(self.changed_at)
    }

    /// Ends the limit.
    pub(super) fn end(self, serial: u64, now: Instant) -> Limit<Ended> {
        Limit { serial, changed_at: now, version: self.version, state: Ended }
    }
}

impl Limit<Ended> {
    /// Returns a limit of which this entry learns at `now` that it has ended.
    pub(super) fn new(serial: u64, now: Instant) -> Self {
        Self { serial, changed_at: now, version: 0, state: Ended }
    }
}

impl Usage {
    fn new(allowance: Allowance, recent_sends: usize, now: Instant) -> Self {
        match allowance {
            Allowance::Share(share) => Self::Share(RateBucket::new(share, recent_sends, now)),
            Allowance::Turn(turn) => Self::Turn(turn),
        }
    }
}
