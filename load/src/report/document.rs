//! The report as a document; all times are in milliseconds.

use crate::{
    record::{Counts, ErrorKind, Recorder, Second, Summary},
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

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was sent.
    pub load: LoadPart,
    /// Requests over all teams.
    pub totals: Counts,
    /// Complete answers a second over the counted time.
    pub goodput: f64,
    /// Prompts by length class.
    pub classes: BTreeMap<LengthClass, GroupPart>,
    /// Requests by team.
    pub teams: BTreeMap<TeamId, GroupPart>,
    /// Calls to the application.
    pub calls: GroupPart,
    /// Refusals by reason and outcome.
    pub refusals: Vec<RefusalPart>,
    /// Errors by kind.
    pub errors: BTreeMap<ErrorKind, u64>,
    /// Every second of the run.
    pub seconds: Vec<SecondPart>,
}

/// What was sent.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadPart {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Arrivals per second.
    pub rate: f64,
    /// Name of the mix.
    pub mix: String,
    /// Mean prompt of the mix with all classes, in tokens.
    pub mean_prompt: f64,
    /// Seconds in which requests arrived.
    pub duration: f64,
    /// Seconds at the start that were not counted.
    pub warmup: f64,
    /// Seconds that each request had.
    pub deadline: f64,
}

/// Counts and times of a group of requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct GroupPart {
    /// Numbers of requests.
    #[serde(flatten)]
    pub counts: Counts,
    /// Times to the first token, or to the answer of a call.
    pub first: Times,
    /// Times between two tokens.
    pub gaps: Times,
    /// Times to the refusal.
    pub refusals: Times,
}

/// Quantiles of a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest time.
    pub max: f64,
}

/// Refusals with one reason and outcome.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RefusalPart {
    /// Why the requests were refused.
    pub reason: Reason,
    /// What is known of the requests.
    pub outcome: Outcome,
    /// Number of requests.
    pub count: u64,
}

/// One second of the run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SecondPart {
    /// Requests that arrived and requests that ended in this second.
    #[serde(flatten)]
    pub counts: Counts,
    /// Median and 95th percentile of the time to first token by class.
    pub first: BTreeMap<LengthClass, (f64, f64)>,
}

impl Report {
    /// Returns the report of what `recorder` has.
    pub fn new(settings: &Settings, recorder: &Recorder) -> Self {
        let totals = recorder.totals();
        let counted = settings.duration.saturating_sub(settings.warmup);
        let group = |summary| GroupPart::new(summary);
        let classes = recorder.classes.iter();
        let teams = recorder.teams.iter();
        let refusals = recorder.refusals.iter().map(|(refused, &count)| RefusalPart {
            reason: refused.reason,
            outcome: refused.outcome,
            count,
        });
        Self {
            load: LoadPart::new(settings),
            totals,
            goodput: totals.complete as f64 / counted.as_secs_f64().max(1.0),
            classes: classes.map(|(&class, summary)| (class, group(summary))).collect(),
            teams: teams.map(|(team, summary)| (team.clone(), group(summary))).collect(),
            calls: group(&recorder.calls),
            refusals: refusals.collect(),
            errors: recorder.errors.clone(),
            seconds: recorder.seconds.iter().map(SecondPart::new).collect(),
        }
    }
}

impl LoadPart {
    fn new(settings: &Settings) -> Self {
        Self {
            seed: settings.seed,
            rate: settings.rate,
            mix: settings.mix.mix.to_string(),
            mean_prompt: settings.mix.mean(),
            duration: settings.duration.as_secs_f64(),
            warmup: settings.warmup.as_secs_f64(),
            deadline: settings.deadline.as_secs_f64(),
        }
    }
}

impl GroupPart {
    fn new(summary: &Summary) -> Self {
        Self {
            counts: summary.counts,
            first: Times::new(&summary.first),
            gaps: Times::new(&summary.gaps),
            refusals: Times::new(&summary.refusals),
        }
    }
}

impl Times {
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

impl SecondPart {
    fn new(second: &Second) -> Self {
        let first = second.first.iter().map(|(&class, times)| (class, quantiles(times)));
        Self { counts: second.counts, first: first.collect() }
    }
}

fn quantiles(times: &[Duration]) -> (f64, f64) {
    let mut times = times.to_vec();
    times.sort_unstable();
    let at = |q: f64| {
        let index = ((times.len() as f64 * q).ceil() as usize).clamp(1, times.len()) - 1;
        times[index].as_secs_f64() * 1_000.0
    };
    (at(0.5), at(0.95))
}
