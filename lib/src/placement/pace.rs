//! Speed of targets, as their streams show it.
//!
//! The times to the first event and between events are compared with those that the engine model
//! gives for the known load. A target that is slower in almost all recent intervals than load
//! explains counts as slow; its work is expected to take longer by the same ratio, and other targets
//! come before it in the order of packing. The ratio decays within seconds, and single requests go
//! to the target meanwhile and measure it.

use super::{
    Choice, Pool, RequestProfile, TargetLoad, load::loaded_pass_ms, selection::MAX_HELPERS,
    target::Candidate,
};
use crate::{ids::TargetId, routes::EngineModel};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// Number of recent intervals that determine the speed of a target, of which one may be short. At
/// five times the usual pass they take 1.6 s.
const WINDOW: usize = 8;

/// Minimum number of intervals from which the speed is derived.
const MIN_INTERVALS: usize = 4;

/// Ratio of observed to expected time below which a target counts as sound. A pass at an engine
/// whose memory is full takes up to 2.1 times as long as at an empty one.
const DEAD_BAND: f64 = 2.5;

/// Largest ratio that is recorded, so that a single stall does not stand for minutes.
const MAX_RATIO: f64 = 16.0;

/// Minimum number of measured targets whose median is taken for an error of the engine model.
const MIN_MEASURED: usize = 4;

/// Time after which half of the slowness of a target remains, so that a target which is slow every
/// few seconds does not get its full share in between.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Time without measurements after which a slow target without requests of this entry gets one as a
/// sound target does.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Age at which measurements are discarded rather than combined with new ones.
const MAX_AGE: Duration = Duration::from_secs(8);

/// Recent ratios of observed to expected times of one run of a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Pace {
    ratios: VecDeque<f64>,
    /// End of the last recorded interval.
    recorded_at: Option<Instant>,
    slowness: Option<Slowness>,
}

/// Factor by which the work at a target took longer than expected.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Slowness {
    factor: f64,
    at: Instant,
}

impl Slowness {
    /// Returns what remains of the factor at `now`, at least 1.
    fn decayed(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        1.0 + (self.factor - 1.0) * 0.5_f64.powf(age.div_duration_f64(HALF_LIFE))
    }
}

impl Pace {
    /// Records an interval that ended at `now`, unless it overlaps the last one: all streams of a
    /// target are in the same passes, so that their intervals are a single measurement.
    fn record(&mut self, expected: Duration, observed: Duration, now: Instant) {
        let age = self.age(now);
        if expected.is_zero() || age.is_some_and(|age| age < observed) {
            return;
        }
        if age.is_some_and(|age| age > MAX_AGE) {
            self.ratios.clear();
        }
        if self.ratios.len() == WINDOW {
            self.ratios.pop_front();
        }
        self.ratios.push_back(observed.div_duration_f64(expected).min(MAX_RATIO));
        self.recorded_at = Some(now);
        let factor = low_ratio(&self.ratios);
        if factor >= DEAD_BAND && factor >= self.remaining_slowness(now) {
            self.slowness = Some(Slowness { factor, at: now });
        }
    }

    /// Returns the factor by which work takes longer than expected, at least 1; 1 if this entry
    /// has no request there (`is_idle`) and should probe the target with one.
    pub(super) fn slowness(&self, is_idle: bool, now: Instant) -> f64 {
        match self.age(now) {
            Some(age) if is_idle && age >= PROBE_INTERVAL => 1.0,
            _ => self.remaining_slowness(now),
        }
    }

    /// Returns whether there are recent measurements.
    fn is_measured(&self, now: Instant) -> bool {
        self.ratios.len() >= MIN_INTERVALS && self.age(now).is_some_and(|age| age <= MAX_AGE)
    }

    fn remaining_slowness(&self, now: Instant) -> f64 {
        self.slowness.map_or(1.0, |slowness| slowness.decayed(now))
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        self.recorded_at.map(|at| now.saturating_duration_since(at))
    }
}

/// Returns a ratio that almost all of the recent ones reach, or 0 if they are too few.
///
/// Prefill of other entries that is not known yet prolongs some intervals of a sound target, but a
/// slow target has no short ones.
fn low_ratio(ratios: &VecDeque<f64>) -> f64 {
    if ratios.len() < MIN_INTERVALS {
        return 0.0;
    }
    let mut sorted: Vec<f64> = ratios.iter().copied().collect();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / WINDOW]
}

/// Divides the slowness of the targets by the median of those that are measured: if most targets are
/// slow, the engine model or the processor of this entry is.
pub(super) fn divide_by_median(candidates: &mut [Candidate<'_>], now: Instant) {
    let measured = candidates.iter().filter(|candidate| candidate.target.pace.is_measured(now));
    let mut sorted: Vec<f64> = measured.map(|candidate| candidate.slowness).collect();
    if sorted.len() < MIN_MEASURED {
        return;
    }
    sorted.sort_by(f64::total_cmp);
    let median = sorted[sorted.len() / 2];
    for candidate in candidates {
        candidate.slowness = (candidate.slowness / median).max(1.0);
    }
}

/// Returns whether a target of this slowness is used after all others, and prefills no part of a
/// prompt, of which the slowest part determines the first event.
pub(super) fn is_slow(slowness: f64) -> bool {
    slowness >= DEAD_BAND
}

/// Measures the intervals between the events of one stream.
#[derive(Clone, Debug)]
pub struct StreamMeter {
    /// Model of the target's engine; `None` at an application, whose times are not measured.
    engine: Option<EngineModel>,
    /// Begin of the current interval.
    since: Instant,
    /// Expected length of the current interval; `None` if it is not known.
    expected: Option<Duration>,
    has_begun: bool,
}

impl StreamMeter {
    /// Returns the meter of a request that is sent at `now`, as `choice` says, to an engine of the
    /// model `engine`.
    ///
    /// No time to the first event is expected of a request that waits for a slot, or of one whose
    /// prompt is prefilled by several targets, since it depends on the others.
    pub fn begin(choice: &Choice, engine: Option<&EngineModel>, now: Instant) -> Self {
        let measured = engine
            .filter(|engine| choice.helpers.is_empty() && choice.load.requests < engine.slots);
        let expected = measured.map(|engine| {
            // The request waits for the end of one pass and has its first event after another.
            let prefill = choice.prefill_ms + f64::from(choice.load.prefill_ms);
            let passes = loaded_pass_ms(&choice.load, engine) + engine.base_pass_ms();
            duration(passes + prefill)
        });
        Self { engine: engine.copied(), since: now, expected, has_begun: false }
    }

    /// Records that the next event is awaited from `now` on. The time until then was the caller's,
    /// who had not taken the last events.
    pub fn begin_wait(&mut self, now: Instant) {
        if self.has_begun {
            self.since = now;
        }
    }
}

impl Pool {
    /// Records that events of the stream of `meter` arrived from `target`.
    pub fn record_events(&mut self, target: &str, meter: &mut StreamMeter, now: Instant) {
        let Some(engine) = &meter.engine else { return };
        let gap = self.expected_gap(target, engine, now);
        // Prefill that was known only before the interval, or only after it, may be a part of it.
        let expected = match meter.has_begun {
            true => meter.expected.max(gap),
            // The wait for the first event depends on prefill of other entries.
            false => meter.expected.filter(|_| self.knows_loads(now)),
        };
        if let Some(expected) = expected {
            let observed = now.saturating_duration_since(meter.since);
            self.record_pace(target, expected, observed, now);
        }
        (meter.since, meter.expected, meter.has_begun) = (now, gap, true);
    }

    /// Records that `target` took `observed` for an interval that was expected to take `expected`.
    pub fn record_pace(
        &mut self,
        target: &str,
        expected: Duration,
        observed: Duration,
        now: Instant,
    ) {
        if let Some(target) = self.targets.get_mut(target) {
            target.pace.record(expected, observed, now);
        }
    }

    /// Returns the targets that count as slow at `now`, with the factor by which work takes longer
    /// there.
    pub fn slow_targets(&self, now: Instant) -> BTreeMap<TargetId, f64> {
        let paces = self.targets.iter().map(|(id, target)| (id, target.pace.slowness(false, now)));
        let slow = paces.filter(|(_, slowness)| is_slow(*slowness));
        slow.map(|(id, slowness)| (id.clone(), slowness)).collect()
    }

    /// Returns the time between two events of a stream of `target`. An entry that does not know
    /// the loads of the others expects that of a full engine.
    fn expected_gap(&self, id: &str, engine: &EngineModel, now: Instant) -> Option<Duration> {
        let load = self.load(id, self.targets.get(id)?, now);
        let load = match self.knows_loads(now) {
            true => TargetLoad { decoding: load.decoding.max(1), ..load },
            false => TargetLoad { decoding: engine.slots, kv_tokens: engine.kv_capacity, ..load },
        };
        Some(duration(loaded_pass_ms(&load, engine) + f64::from(load.prefill_ms)))
    }
}

impl RequestProfile {
    /// Returns the cost of the request itself at an idle engine, in the unit of the scores that do
    /// not include it: requests for a latency-sensitive one, otherwise ms of prefill.
    pub(super) fn own_cost(&self, engine: Option<&EngineModel>) -> f64 {
        match engine {
            Some(_) if self.is_latency_sensitive() => 1.0,
            Some(engine) => engine.prefill_ms(self.prompt_tokens) / (MAX_HELPERS + 1) as f64,
            None => 0.0,
        }
    }
}

fn duration(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1e3).unwrap_or(Duration::MAX)
}
