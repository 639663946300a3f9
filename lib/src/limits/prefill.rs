//! Limit on prefill that keeps a reserve of capacity for the loss of a zone
//! (`policy.zone_reserve`).

use crate::{
    cost::{Cost, LengthClass},
    ids::Tokens,
};
use std::time::Instant;

/// Burst of the token bucket, in seconds of the usable rate.
const BURST_SECONDS: f64 = 1.0;

/// Token bucket of the prefill that one entry may send to the engines of one model while all zones
/// are available.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillLimiter {
    /// Level in tokens and time of the last refill; `None` before the first request.
    bucket: Option<(f64, Instant)>,
}

impl PrefillLimiter {
    /// Takes the prefill of a request from the bucket and returns whether it may be sent now.
    ///
    /// `usable_rate` is this entry's share of the prefill rate without the reserve, in tokens a
    /// second. Short prompts are always allowed and reduce what is left for longer ones, but lower
    /// the level to at most one burst below zero. A longer prompt that exceeds the burst is allowed
    /// when the bucket is full and leaves a negative level.
    pub fn try_take(&mut self, cost: Cost, usable_rate: Tokens, now: Instant) -> bool {
        let burst = usable_rate as f64 * BURST_SECONDS;
        let (level, refilled_at) = self.bucket.unwrap_or((burst, now));
        let elapsed = now.saturating_duration_since(refilled_at).as_secs_f64();
        let level = (level + elapsed * usable_rate as f64).min(burst);
        let short = cost.class() == LengthClass::Short;
        let allowed = short || level >= (cost.prompt as f64).min(burst);
        let new_level = match (allowed, short) {
            (false, _) => level,
            (true, true) => (level - cost.prompt as f64).max(level.min(-burst)),
            (true, false) => level - cost.prompt as f64,
        };
        self.bucket = Some((new_level, now));
        allowed
    }
}

/// Returns the part of `rate` that may be used, in tokens a second.
///
/// `reserve` is the reserved share, from 0 to 1. While a zone is missing, the reserve is released
/// and the other zones use their full rate.
pub fn usable_rate(rate: Tokens, reserve: f64, zone_missing: bool) -> Tokens {
    if zone_missing { rate } else { (rate as f64 * (1.0 - reserve.clamp(0.0, 1.0))) as Tokens }
}
