//! Demand of latency-sensitive requests, and the number of engines that serve it.

use super::cost::SLOT_SHARE_BEFORE_RESERVE;
use crate::routes::EngineModel;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time over which the arrival rate is measured. A burst must be seen before the entries learn of
/// each other's requests, 0.1 to 0.3 s later.
const WINDOW: Duration = Duration::from_millis(300);

/// Share of an engine's time that the prefill of latency-sensitive requests may take before they
/// use another engine. More of them in one pass delay each other's first events.
const PREFILL_SHARE_BEFORE_NEXT_ENGINE: f64 = 0.2;

/// Share of an engine's slots that latency-sensitive requests fill before they use another engine.
const SLOT_SHARE_BEFORE_NEXT_ENGINE: f64 = 0.5;

/// Share of the engines that is reserved for long prompts while the other engines have capacity.
const LONG_PROMPT_RESERVE: f64 = 0.15;

/// Latency-sensitive requests that this entry sent to one service within the last `WINDOW`.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentSends {
    /// Time of each send, and the prefill time of its prompt in ms.
    sends: VecDeque<(Instant, f64)>,
}

impl RecentSends {
    /// Records a send at `now` and forgets those before the window.
    pub(super) fn record(&mut self, prefill_ms: f64, now: Instant) {
        self.sends.push_back((now, prefill_ms));
        let is_old = |at: Instant| now.saturating_duration_since(at) > WINDOW;
        while self.sends.front().is_some_and(|(at, _)| is_old(*at)) {
            self.sends.pop_front();
        }
    }

    /// Returns the prefill time of the prompts sent within the window before `now`, in ms.
    pub(super) fn prefill_ms(&self, now: Instant) -> f64 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= WINDOW;
        let recent = self.sends.iter().filter(|(at, _)| is_recent(*at));
        recent.map(|(_, prefill_ms)| prefill_ms).sum()
    }
}

/// Returns the number of engines that are kept busy if each of `entries` entries sends prompts with
/// `prefill_ms` of prefill within `WINDOW`, as this one does.
pub(super) fn busy_engines(prefill_ms: f64, entries: usize) -> f64 {
    prefill_ms * entries as f64 / (WINDOW.as_secs_f64() * 1e3)
}

/// Returns how many of `engines` engines serve `requests` latency-sensitive requests, the prefill of
/// which keeps `busy_engines` engines busy.
pub(super) fn packed_engines(
    requests: u32,
    busy_engines: f64,
    engines: usize,
    engine: &EngineModel,
) -> usize {
    let engines_for = |slot_share: f64| {
        (f64::from(requests) / (slot_share * f64::from(engine.slots))).ceil() as usize
    };
    let engines_for_prefill = (busy_engines / PREFILL_SHARE_BEFORE_NEXT_ENGINE).ceil() as usize;
    let reserved = (LONG_PROMPT_RESERVE * engines as f64).ceil() as usize;
    engines_for(SLOT_SHARE_BEFORE_NEXT_ENGINE)
        .max(engines_for_prefill)
        .min(engines.saturating_sub(reserved))
        .max(engines_for(SLOT_SHARE_BEFORE_RESERVE))
        .clamp(1, engines.max(1))
}
