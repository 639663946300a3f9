//! Cache events, which show late and with gaps.

use fnv::FnvHasher;
use fulmarhead_lib::ids::{ModelId, Tokens};
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    hash::Hasher,
    time::{Duration, Instant},
};
use strum::Display;

/// Most events that are kept.
const KEPT: usize = 20_000;

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The engine keeps the prefix.
    Stored,
    /// The engine dropped the prefix.
    Evicted,
}

/// An event of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a missing number is a lost event.
    pub sequence: u64,
    /// What happened.
    pub kind: EventKind,
    /// Model that the prefix belongs to.
    pub model: ModelId,
    /// FNV-1a hash (64 bits) of the text of the prefix, in hexadecimal.
    pub prefix: String,
    /// Length of the prefix.
    pub tokens: Tokens,
}

/// Answer to `GET /cache/events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in their order.
    pub events: Vec<CacheEvent>,
    /// Number to ask for events after.
    pub next: u64,
}

/// The events of an engine.
#[derive(Debug)]
pub(super) struct EventLog {
    delay: Duration,
    loss: f64,
    now: Instant,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    /// Returns an empty log whose events show after `delay`; `loss` is the share of lost events.
    pub(super) fn new(delay: Duration, loss: f64, now: Instant) -> Self {
        Self { delay, loss, now, sequence: 0, events: VecDeque::new() }
    }

    /// Sets the time of the events that follow.
    pub(super) fn set_now(&mut self, now: Instant) {
        self.now = now;
    }

    /// Forgets all events; the numbers go on.
    pub(super) fn clear(&mut self) {
        self.events.clear();
    }

    /// Records an event.
    pub(super) fn push(&mut self, kind: EventKind, model: &str, prefix: u64, tokens: Tokens) {
        self.sequence += 1;
        if self.is_lost() {
            return;
        }
        let (sequence, model, prefix) = (self.sequence, model.to_owned(), format!("{prefix:016x}"));
        let event = CacheEvent { sequence, kind, model, prefix, tokens };
        self.events.push_back((self.now + self.delay, event));
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }

    /// Returns the events after number `after` that show by now.
    pub(super) fn after(&self, after: u64) -> CacheEvents {
        let shown = self.events.iter().take_while(|(at, _)| *at <= self.now);
        let events: Vec<CacheEvent> = shown
            .filter(|(_, event)| event.sequence > after)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.sequence);
        CacheEvents { events, next }
    }

    /// Draws whether the current event is lost; the same number always has the same fate.
    fn is_lost(&self) -> bool {
        let mut hasher = FnvHasher::default();
        hasher.write_u64(self.sequence);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64 <= self.loss && self.loss > 0.0
    }
}
