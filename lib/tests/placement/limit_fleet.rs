//! Entries that send to one target, and tell each other of its limit through a relay.

use crate::fixture::{START_BOUND, latency_sensitive, members};
use fulmarhead_lib::{
    clock::Clock,
    limits::RequestRate,
    placement::{
        AttemptResult, Backoff, Choice, LimitVersion, PlacementError, Pool, RateNotice, Work,
        WorkId,
    },
    routes::Service,
};
use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};
use testutils::ManualClock;

/// Length of a step of the model.
pub(crate) const STEP: Duration = Duration::from_millis(50);

/// Time from a request to the head of its response.
const RESPONSE_TIME: Duration = Duration::from_millis(150);

/// Interval between the exchanges of an entry with the relay, which is the first entry.
const EXCHANGE_STEPS: u32 = 2;

/// Span of time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// A request whose response is on the way.
struct Pending {
    due_at: Instant,
    entry: usize,
    choice: Choice,
    work: Option<WorkId>,
    sent_at: Instant,
    notice: RateNotice,
}

/// One entry.
struct Entry {
    pool: Pool,
    /// Versions of the limits that the relay and the entry have sent each other.
    told: (LimitVersion, LimitVersion),
    exchanges: bool,
}

pub(crate) struct LimitFleet {
    clock: ManualClock,
    begin: Instant,
    steps: u32,
    entries: Vec<Entry>,
    service: Service,
    pending: VecDeque<Pending>,
    /// What the target says in its responses.
    pub(crate) notice: RateNotice,
    arrivals: Vec<Instant>,
    /// Waits of which the entries told callers that they refused.
    pub(crate) refusals: Vec<Duration>,
}

pub(crate) fn address(number: usize) -> SocketAddr {
    ([10, 1, (number / 250) as u8, (number % 250) as u8], 7_000).into()
}

impl LimitFleet {
    /// Returns `count` entries that know each other and one target.
    pub(crate) fn new(count: usize) -> Self {
        let clock = ManualClock::default();
        let entry = || {
            let mut pool = Pool::new("z0".into(), START_BOUND);
            pool.update_members(members(&[1]), Duration::ZERO, clock.now());
            Entry { pool, told: (0, 0), exchanges: true }
        };
        let mut fleet = Self {
            begin: clock.now(),
            entries: (0..count).map(|_| entry()).collect(),
            clock,
            steps: 0,
            service: Service { id: "pool".into(), cold_rate: 0.0, engine: None },
            pending: VecDeque::new(),
            notice: RateNotice::Unlimited,
            arrivals: Vec::new(),
            refusals: Vec::new(),
        };
        for entry in 0..count {
            fleet.set_known(entry, 0..count);
        }
        fleet
    }

    /// Sets the entries that `entry` knows.
    pub(crate) fn set_known(&mut self, entry: usize, known: impl IntoIterator<Item = usize>) {
        let known: BTreeSet<SocketAddr> = known.into_iter().map(address).collect();
        let now = self.clock.now();
        self.entries[entry].pool.set_entries(address(entry), known, now);
    }

    /// Sets whether `entry` exchanges news with the relay.
    pub(crate) fn set_exchanges(&mut self, entry: usize, exchanges: bool) {
        self.entries[entry].exchanges = exchanges;
    }

    /// Replaces the target by a new run of it.
    pub(crate) fn restart_target(&mut self) {
        let mut list = members(&[1]);
        let started_at = SystemTime::UNIX_EPOCH + Duration::from_secs(9);
        list.get_mut("t1").unwrap().started_at = Some(started_at);
        let now = self.clock.now();
        for entry in &mut self.entries {
            entry.pool.update_members(list.clone(), Duration::ZERO, now);
        }
    }

    /// Lets the target name a limit of `per_second` from now on.
    pub(crate) fn limit(&mut self, per_second: f64) {
        self.notice = RateNotice::Limited(RequestRate::new(per_second).unwrap());
    }

    /// Plays `time`. In each step the entries for which `has_request` is true have a request; it
    /// gets the number of the entry and of the step.
    pub(crate) fn play(&mut self, time: Duration, has_request: impl Fn(usize, u32) -> bool) {
        for _ in 0..(time.as_millis() / STEP.as_millis()) {
            self.clock.advance(STEP);
            self.steps += 1;
            self.deliver();
            for entry in 0..self.entries.len() {
                if (self.steps + entry as u32).is_multiple_of(EXCHANGE_STEPS) {
                    self.exchange(entry);
                }
                if has_request(entry, self.steps) {
                    self.send(entry);
                }
            }
        }
    }

    /// Returns the present time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the time since the begin.
    pub(crate) fn elapsed(&self) -> Duration {
        self.now() - self.begin
    }

    /// Returns the number of requests since `begin`.
    pub(crate) fn count_since(&self, begin: Instant) -> usize {
        self.arrivals.iter().filter(|at| **at >= begin).count()
    }

    /// Returns the largest number of requests in a window that begins after `begin`.
    pub(crate) fn max_in_window(&self, begin: Instant) -> usize {
        let first = self.arrivals.partition_point(|at| *at <= begin);
        let arrivals = &self.arrivals[first..];
        let count = |(index, at): (usize, &Instant)| {
            arrivals.partition_point(|it| *it < *at + WINDOW) - index
        };
        arrivals.iter().enumerate().map(count).max().unwrap_or(0)
    }

    /// Returns the number of entries that know a limit.
    pub(crate) fn limited_entries(&self) -> usize {
        self.entries.iter().filter(|entry| entry.pool.limited_count() > 0).count()
    }

    /// Returns the entries that have a share of the limit.
    pub(crate) fn senders(&self) -> Vec<usize> {
        let has_share = |entry: &Entry| {
            entry.pool.summary().request_limits.values().any(|limit| limit.share > 0.0)
        };
        let entries = self.entries.iter().enumerate();
        entries.filter(|(_, entry)| has_share(entry)).map(|(number, _)| number).collect()
    }

    fn send(&mut self, entry: usize) {
        let (now, count) = (self.clock.now(), self.entries.len());
        let profile = latency_sensitive();
        let pool = &mut self.entries[entry].pool;
        let choice = match pool.choose(&self.service, &profile, &[], Backoff::Ignore, count, now) {
            Ok(choice) => choice,
            Err(PlacementError::Paused(wait)) => return self.refusals.push(wait),
            Err(_) => return,
        };
        assert!(pool.wants_requests(&choice, now));
        let work = pool.begin_request(&choice.target, Work::new(&profile, 0.0, now), now);
        self.arrivals.push(now);
        let (due_at, notice) = (now + RESPONSE_TIME, self.notice);
        self.pending.push_back(Pending { due_at, entry, choice, work, sent_at: now, notice });
    }

    fn deliver(&mut self) {
        let now = self.clock.now();
        while self.pending.front().is_some_and(|pending| pending.due_at <= now) {
            let Some(Pending { entry, choice, work, sent_at, notice, .. }) =
                self.pending.pop_front()
            else {
                return;
            };
            let pool = &mut self.entries[entry].pool;
            pool.record_rate(&choice, notice, sent_at, now);
            pool.end_request(&choice.target, work, AttemptResult::Answered, now);
        }
    }

    fn exchange(&mut self, entry: usize) {
        let now = self.clock.now();
        let [relay, rest @ ..] = &mut self.entries[..] else { return };
        let Some(entry) = entry.checked_sub(1).map(|index| &mut rest[index]) else { return };
        if !entry.exchanges {
            return;
        }
        let (news, version) = entry.pool.limits_since(entry.told.0, now);
        entry.told.0 = version;
        relay.pool.merge_limits(news, now);
        let (news, version) = relay.pool.limits_since(entry.told.1, now);
        entry.told.1 = version;
        entry.pool.merge_limits(news, now);
    }
}
