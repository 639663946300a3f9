//! The last prompt that a search sent to one engine, for learning from its answer.

use crate::entry::Entry;
use fulmarhead_lib::{
    cost::Cost,
    ids::Tokens,
    routing::{Candidate, Hit, PrefixHashes},
};
use std::time::{Duration, Instant};

/// A prompt that was sent to one engine, with what was known about the engine's prefix cache.
#[derive(Clone, Debug)]
pub(super) struct SentPrompt {
    candidate: Candidate,
    hit: Hit,
    cost: Cost,
    sent_at: Instant,
    /// Time from the decision to the first item of the answer.
    first_delay: Option<Duration>,
}

impl SentPrompt {
    pub(super) fn new(candidate: &Candidate, hit: Option<Hit>, cost: Cost, now: Instant) -> Self {
        let (candidate, hit) = (candidate.clone(), hit.unwrap_or_default());
        Self { candidate, hit, cost, sent_at: now, first_delay: None }
    }

    /// Returns the number of cached tokens that was expected when the prompt was sent.
    pub(super) fn expected_tokens(&self) -> Tokens {
        self.candidate.cached_tokens
    }

    /// Records the first item of the answer: the engine has computed the whole prompt.
    pub(super) fn record_first_item(&mut self, entry: &Entry, prefixes: &PrefixHashes) {
        let now = entry.clock.now();
        self.first_delay = Some(now.saturating_duration_since(self.sent_at));
        entry.state().prefixes.record_served(prefixes, &self.candidate.target, now);
    }

    /// Learns from a complete answer; `cached` is the number of cached tokens that it reported.
    ///
    /// An answer that reports none is judged by the time to its first item.
    pub(super) fn record_end(&self, entry: &Entry, cached: Option<Tokens>) {
        let rate = self.candidate.load.prefill_rate;
        let by_delay = || self.hit.cached_by_delay(self.cost, rate, self.first_delay?);
        if let Some(cached) = cached.or_else(by_delay) {
            let mut state = entry.state();
            state.prefixes.record_outcome(&self.candidate, &self.hit, self.cost, cached);
        }
    }
}
