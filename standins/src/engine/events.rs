//! Log of cache events, which are published with a delay and a configurable loss.

use fnv::FnvHasher;
use fulmarhead_lib::ids::{ModelId, Tokens};
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    hash::Hasher,
    time::{Duration, Instant},
};
use strum::Display;

/// Maximum number of events in the log; the oldest are dropped.
const MAX_EVENTS: usize = 20_000;

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was removed from the cache to free memory.
    Evicted,
}

/// Change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that an event was lost.
    pub sequence: u64,
    /// Whether the prefix was stored or evicted.
    pub kind: EventKind,
    /// Model that the prefix belongs to.
    pub model: ModelId,
    /// FNV-1a hash (64 bits) of the text of the prefix, in hexadecimal.
    pub prefix: String,
    /// Length of the prefix, in tokens.
    pub tokens: Tokens,
}

/// Response to `GET /cache/events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in ascending order of their sequence numbers.
    pub events: Vec<CacheEvent>,
    /// Value of `after` for the next request.
    pub next: u64,
}

/// Cache events of an engine, each with the time at which it is published.
#[derive(Debug)]
pub(super) struct EventLog {
    delay: Duration,
    loss: f64,
    now: Instant,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    /// Returns an empty log that publishes events after `delay` and loses the share `loss` of them.
    pub(super) fn new(delay: Duration, loss: f64, now: Instant) -> Self {
        Self { delay, loss, now, sequence: 0, events: VecDeque::new() }
    }

    /// Sets the current time, at which later events are recorded and read.
    pub(super) fn set_now(&mut self, now: Instant) {
        self.now = now;
    }

    /// Removes all events; sequence numbers continue.
    pub(super) fn clear(&mut self) {
        self.events.clear();
    }

    /// Records an event, or only consumes its sequence number if it is lost.
    pub(super) fn push(&mut self, kind: EventKind, model: &str, prefix: u64, tokens: Tokens) {
        self.sequence += 1;
        if self.is_lost() {
            return;
        }
        let (sequence, model, prefix) = (self.sequence, model.to_owned(), format!("{prefix:016x}"));
        let event = CacheEvent { sequence, kind, model, prefix, tokens };
        self.events.push_back((self.now + self.delay, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the published events with a sequence number above `after`.
    pub(super) fn after(&self, after: u64) -> CacheEvents {
        let published = self.events.iter().take_while(|(at, _)| *at <= self.now);
        let events: Vec<CacheEvent> = published
            .filter(|(_, event)| event.sequence > after)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.sequence);
        CacheEvents { events, next }
    }

    /// Returns whether the current event is lost: a pseudorandom function of its sequence number.
    fn is_lost(&self) -> bool {
        let mut hasher = FnvHasher::default();
        hasher.write_u64(self.sequence);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64 <= self.loss && self.loss > 0.0
    }
}
