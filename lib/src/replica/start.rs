//! How long an entry that starts waits for a peer's copy of the store before it reads the store.

use std::time::{Duration, Instant};

/// Wait of an entry that no other one has answered. Callers may be waiting; but seeds with 0.09 of a
/// core take up to 330 ms to answer 300 entries that start together.
const COPY_TIMEOUT: Duration = Duration::from_millis(240);

/// Longest random addition to `COPY_TIMEOUT`, so that entries which start together do not all read
/// the store at the same moment.
const COPY_SPREAD: Duration = Duration::from_millis(60);

/// Wait of an entry that another one has answered: its relay reads the store itself and has a copy
/// for the next exchange.
const MEMBER_COPY_TIMEOUT: Duration = Duration::from_millis(600);

/// Wait at the first start of the whole system, which has no callers yet: a few exchanges, and the
/// time by which entries start after each other.
const FIRST_START_COPY_TIMEOUT: Duration = Duration::from_millis(600);

/// Wait of a relay after it has reached its first peers, which send a copy with their next message
/// if they have one.
const RELAY_COPY_TIMEOUT: Duration = Duration::from_millis(60);

/// Place of an entry that starts among the others, as far as it knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRole {
    /// The entry is the relay of its zone and knows all entries that answer.
    Relay,
    /// Another entry answers, and the entry is no relay or can't tell yet.
    Member,
    /// No other entry has answered yet.
    Alone,
}

/// Wait of an entry that has started, for the copy of a peer.
#[derive(Clone, Copy, Debug)]
pub struct CopyWait {
    started_at: Instant,
    /// Limit of an entry that no other one has answered.
    limit: Duration,
    /// Time since which the entry is a relay.
    relay_since: Option<Instant>,
}

impl CopyWait {
    /// Returns the wait of an entry that starts at `now`. `draw` is a random number in `0.0..1.0`,
    /// and `first_start` says that the whole system starts for the first time.
    pub fn begin(first_start: bool, draw: f64, now: Instant) -> Self {
        let limit = match first_start {
            true => FIRST_START_COPY_TIMEOUT,
            false => COPY_TIMEOUT + COPY_SPREAD.mul_f64(draw.clamp(0.0, 1.0)),
        };
        Self { started_at: now, limit, relay_since: None }
    }

    /// Returns whether the entry, which has no copy yet, should read the store at `now`.
    pub fn is_over(&mut self, role: StartRole, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.started_at);
        match role {
            StartRole::Relay => {
                let since = *self.relay_since.get_or_insert(now);
                let settled = now.saturating_duration_since(since);
                settled >= RELAY_COPY_TIMEOUT || waited >= self.limit
            }
            StartRole::Member => waited >= MEMBER_COPY_TIMEOUT,
            StartRole::Alone => waited >= self.limit,
        }
    }
}
