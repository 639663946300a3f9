//! Known prefixes of one prompt at one target.

use crate::{cost::Cost, ids::Tokens};
use std::time::Duration;

/// Share of the prefill time from which the delay of a first token shows that nothing was cached,
/// and share of the expected saving that shows that the prefix was cached.
///
/// Delays in between say nothing, since the reported prefill rate is not exact.
const DELAY_SHARE: f64 = 0.75;

/// The prefixes of a prompt that one target has served, from the shortest to the longest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hit {
    parts: Vec<Part>,
}

/// One of the prefixes; it includes all shorter ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Part {
    /// Length of the prefix, in tokens.
    pub(super) length: Tokens,
    /// Probability that the target still holds the prefix according to its age alone.
    pub(super) fresh: f64,
    /// KV cache that was asked of the target since it last served the prefix, in tokens.
    pub(super) distance: Tokens,
}

impl Hit {
    pub(super) fn push(&mut self, part: Part) {
        self.parts.push(part);
    }

    /// Returns the length of the longest known prefix, in tokens.
    pub fn known(&self) -> Tokens {
        self.parts.last().map_or(0, |part| part.length)
    }

    /// Returns the KV cache that was asked of the target since it last served the longest prefix.
    pub(super) fn distance(&self) -> Tokens {
        self.parts.last().map_or(0, |part| part.distance)
    }

    /// Returns the expected number of cached tokens, before it is known whether the target keeps
    /// prefixes at all.
    ///
    /// `room` is the KV cache that stays free beside the request; a prefix that does not fit in it
    /// is evicted when the request starts. `capacity` is the KV cache that may be asked of the
    /// target before it evicts a prefix.
    pub(super) fn retained(&self, room: Tokens, capacity: Tokens) -> f64 {
        let mut covered = 0;
        let mut retained = 0.0;
        for part in &self.parts {
            let evicted = part.distance as f64 / capacity.max(1) as f64;
            let kept = if part.length > room { 0.0 } else { (1.0 - evicted).max(0.0) };
            retained += (part.length - covered) as f64 * kept * part.fresh;
            covered = part.length;
        }
        retained
    }

    /// Estimates the cached tokens from the time to the first token of a prompt of `cost`, for
    /// engines that do not report them; `rate` is the prefill rate in tokens per second.
    ///
    /// Returns `None` if the delay is inconclusive, or if the known prefix is so short that the
    /// delay hardly depends on it.
    pub fn cached_by_delay(&self, cost: Cost, rate: Tokens, delay: Duration) -> Option<Tokens> {
        let whole = Cost::prefill_time(cost.prompt, rate);
        let saving = Cost::prefill_time(self.known().min(cost.prompt), rate);
        if self.known() * 2 < cost.prompt {
            None
        } else if delay >= whole.mul_f64(DELAY_SHARE) {
            Some(0)
        } else {
            let hit = delay <= whole.saturating_sub(saving.mul_f64(DELAY_SHARE));
            hit.then(|| self.known())
        }
    }
}
