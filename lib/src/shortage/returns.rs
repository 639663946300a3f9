//! Times at which refused callers may return.

use super::Lane;
use crate::placement::Forecast;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Share of the time left to a caller up to which it honours a delay.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// Share of the longest delay over which callers are spread whose forecast is beyond it.
const LATE_SPREAD_SHARE: f64 = 0.3;

/// Share of the slots that become free for which callers are told to return; new requests take the
/// others. With all slots, refused callers return into the burst that they were refused in, late
/// already, and displace new ones: of 3 s with 80 requests a second at the model's 8 engines, 304 of
/// 579 were on time, with this share 364 of 587.
const RETURN_SHARE: f64 = 0.1;

/// Spread of the delays as a share of the delay, and at least: about one pass of an engine.
const SPREAD_SHARE: f64 = 0.25;
const MIN_SPREAD: Duration = Duration::from_millis(60);

/// Shortest delay, so that a caller does not return before a pass of the engines has ended.
const MIN_DELAY: Duration = Duration::from_millis(60);

/// Delays of refused callers, and the latest time that was stated in each lane.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    stated: BTreeMap<Lane, Instant>,
}

impl Returns {
    /// Returns the delay after which a caller that is refused at `now` may return.
    ///
    /// This is the forecast, and for the callers that are refused one after the other, the times at
    /// which this entry's share among `entries` of the running requests ends. It is spread by
    /// `draw`, a random number in `0.0..1.0`, and at most a third of `time_left`.
    pub fn delay(
        &mut self,
        lane: &Lane,
        forecast: &Forecast,
        time_left: Duration,
        entries: usize,
        draw: f64,
        now: Instant,
    ) -> Duration {
        let max_delay = max_delay(forecast, time_left);
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let interval = (forecast.end_interval * entries).mul_f64(1.0 / RETURN_SHARE);
        let after_last = self.stated.get(lane).map(|at| *at + interval);
        let due = after_last.map_or(now, |at| at.max(now)).max(now + forecast.expected);
        let delay = due.saturating_duration_since(now).max(MIN_DELAY);
        // Later callers can't be told a later time than the longest delay.
        self.stated.retain(|_, at| *at > now);
        self.stated.insert(lane.clone(), due.min(now + max_delay));
        let (low, high) = match delay < max_delay.mul_f64(1.0 - LATE_SPREAD_SHARE) {
            true => (delay, delay + delay.mul_f64(SPREAD_SHARE).max(MIN_SPREAD)),
            false => (max_delay.mul_f64(1.0 - LATE_SPREAD_SHARE), max_delay),
        };
        (low + high.saturating_sub(low).mul_f64(draw.clamp(0.0, 1.0))).min(max_delay)
    }
}

/// Returns the longest delay that the caller honours and after which the request can be served.
fn max_delay(forecast: &Forecast, time_left: Duration) -> Duration {
    let honoured = time_left.mul_f64(HONOURED_SHARE);
    match time_left.checked_sub(forecast.service_time()) {
        Some(spare) if !spare.is_zero() => honoured.min(spare),
        _ => honoured,
    }
}
