//! The report as a serializable document; latencies are in milliseconds.

use crate::{
    record::{Counts, ErrorKind, Recorder, SecondSamples, Summary},
    settings::Settings,
};
use fulmarhead_lib::{
    cost::LengthClass,
    ids::TeamId,
    outcome::{Outcome, Reason},
};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// Report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Parameters of the load.
    pub load: LoadParameters,
    /// Numbers of requests over all teams, warm-up excluded.
    pub totals: Counts,
    /// Complete responses per second after the warm-up.
    pub goodput: f64,
    /// Completions by length class.
    pub classes: BTreeMap<LengthClass, GroupStats>,
    /// Completions and calls by team.
    pub teams: BTreeMap<TeamId, GroupStats>,
    /// Calls to the application.
    pub calls: GroupStats,
    /// Refusals by reason and outcome.
    pub refusals: Vec<RefusalCount>,
    /// Errors by kind.
    pub errors: BTreeMap<ErrorKind, u64>,
    /// Statistics by second of the run, warm-up included.
    pub seconds: Vec<SecondStats>,
}

/// Parameters of the load that was sent.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadParameters {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Arrivals per second over all classes of the mix.
    pub rate: f64,
    /// Name of the [`Mix`](crate::Mix).
    pub mix: String,
    /// Mean prompt length over all classes in tokens, whichever classes were sent.
    pub mean_prompt: f64,
    /// Time in which requests arrived, in seconds.
    pub duration: f64,
    /// Warm-up at the start that is left out of the statistics, in seconds.
    pub warmup: f64,
    /// Time limit of each request, in seconds.
    pub deadline: f64,
}

/// Counts and latencies of a group of requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct GroupStats {
    /// Numbers of requests by result.
    #[serde(flatten)]
    pub counts: Counts,
    /// Times to the first token, or to the response of a call.
    pub first: LatencyStats,
    /// Times between consecutive tokens.
    pub gaps: LatencyStats,
    /// Times from the arrival to the refusal.
    pub refusals: LatencyStats,
}

/// Mean and quantiles of latencies, in milliseconds; all zero if there are none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyStats {
    /// Arithmetic mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Number of refusals with one reason and outcome.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RefusalCount {
    /// Why the requests were refused.
    pub reason: Reason,
    /// Whether the requests may have run.
    pub outcome: Outcome,
    /// Number of refused requests.
    pub count: u64,
}

/// Statistics of one second of the run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SecondStats {
    /// Requests that arrived and requests that ended in this second.
    #[serde(flatten)]
    pub counts: Counts,
    /// Median and 95th percentile of the time to first token, by length class.
    pub first: BTreeMap<LengthClass, (f64, f64)>,
}

impl Report {
    /// Returns the report on the samples of `recorder`.
    pub fn new(settings: &Settings, recorder: &Recorder) -> Self {
        let totals = recorder.totals();
        let counted_time = settings.duration.saturating_sub(settings.warmup);
        let group = |summary| GroupStats::new(summary);
        let classes = recorder.classes.iter();
        let teams = recorder.teams.iter();
        let refusals = recorder.refusals.iter().map(|(kind, &count)| RefusalCount {
            reason: kind.reason,
            outcome: kind.outcome,
            count,
        });
        Self {
            load: LoadParameters::new(settings),
            totals,
            goodput: totals.complete as f64 / counted_time.as_secs_f64().max(1.0),
            classes: classes.map(|(&class, summary)| (class, group(summary))).collect(),
            teams: teams.map(|(team, summary)| (team.clone(), group(summary))).collect(),
            calls: group(&recorder.calls),
            refusals: refusals.collect(),
            errors: recorder.errors.clone(),
            seconds: recorder.seconds.iter().map(SecondStats::new).collect(),
        }
    }
}

impl LoadParameters {
    fn new(settings: &Settings) -> Self {
        Self {
            seed: settings.seed,
            rate: settings.rate,
            mix: settings.mix.mix.to_string(),
            mean_prompt: settings.mix.mean_prompt(),
            duration: settings.duration.as_secs_f64(),
            warmup: settings.warmup.as_secs_f64(),
            deadline: settings.deadline.as_secs_f64(),
        }
    }
}

impl GroupStats {
    fn new(summary: &Summary) -> Self {
        Self {
            counts: summary.counts,
            first: LatencyStats::new(&summary.first_token),
            gaps: LatencyStats::new(&summary.token_gaps),
            refusals: LatencyStats::new(&summary.refusal_times),
        }
    }
}

impl LatencyStats {
    fn new(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Self::default();
        }
        let quantile = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
        Self {
            mean: histogram.mean() / 1_000.0,
            p50: quantile(0.5),
            p95: quantile(0.95),
            p99: quantile(0.99),
            max: histogram.max() as f64 / 1_000.0,
        }
    }
}

impl SecondStats {
    fn new(second: &SecondSamples) -> Self {
        let first = second.first_token.iter().map(|(&class, times)| (class, quantiles(times)));
        Self { counts: second.counts, first: first.collect() }
    }
}

/// Returns the median and the 95th percentile of `times`, in milliseconds.
fn quantiles(times: &[Duration]) -> (f64, f64) {
    let mut times = times.to_vec();
    times.sort_unstable();
    let quantile = |q: f64| {
        let index = ((times.len() as f64 * q).ceil() as usize).clamp(1, times.len()) - 1;
        times[index].as_secs_f64() * 1_000.0
    };
    (quantile(0.5), quantile(0.95))
}
