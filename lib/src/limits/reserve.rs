//! Capacity that is kept free for the loss of a zone (`policy.zone_reserve`).

use crate::{
    cost::{Cost, LengthClass},
    ids::Tokens,
};
use std::time::Instant;

/// Seconds of the usable rate that may be used at once.
const BURST: f64 = 1.0;

/// Prefill that one entry may send to the engines of one model while all zones serve.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneReserve {
    state: Option<(f64, Instant)>,
}

impl ZoneReserve {
    /// Takes the prefill of a request; returns whether it may be sent now.
    ///
    /// `usable` is this entry's share of the prefill rate without the reserve, in tokens a second.
    /// Short prompts always pass and leave less for others. The bucket may go into debt by one
    /// request and by one burst of short prompts.
    pub fn take(&mut self, cost: Cost, usable: Tokens, now: Instant) -> bool {
        let burst = usable as f64 * BURST;
        let (level, filled) = self.state.unwrap_or((burst, now));
        let passed = now.saturating_duration_since(filled).as_secs_f64();
        let level = (level + passed * usable as f64).min(burst);
        let short = cost.class() == LengthClass::Short;
        let passes = short || level >= (cost.prompt as f64).min(burst);
        let spent = match (passes, short) {
            (false, _) => level,
            (true, true) => (level - cost.prompt as f64).max(level.min(-burst)),
            (true, false) => level - cost.prompt as f64,
        };
        self.state = Some((spent, now));
        passes
    }
}

/// Returns the part of `rate` that an entry may use.
///
/// While a zone is missing the others use their whole rate: this is what the reserve is for.
pub fn usable_rate(rate: Tokens, reserve: f64, zone_missing: bool) -> Tokens {
    if zone_missing { rate } else { (rate as f64 * (1.0 - reserve.clamp(0.0, 1.0))) as Tokens }
}
