//! Recorder of the request samples of one run.

use super::{
    result::{ErrorKind, RefusalKind, RequestResult},
    summary::{Counts, Summary, record_time},
};
use fulmarhead_lib::{cost::LengthClass, ids::TeamId};
use hdrhistogram::CreationError;
use std::{collections::BTreeMap, time::Duration};
use strum::IntoEnumIterator;

/// Measurements of one request that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Index of the team in the settings.
    pub team: usize,
    /// Length class of the prompt; `None` for a call to the application.
    pub class: Option<LengthClass>,
    /// Arrival time since the start of the run.
    pub arrival: Duration,
    /// Time from the arrival to the first token, or to the response of a call.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
    /// Time from the arrival to the end of the request.
    pub total_time: Duration,
    /// How the request ended.
    pub result: RequestResult,
}

/// Counts and latencies of one second of the run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondSamples {
    /// Requests that arrived and requests that ended in this second; one request may count in two
    /// seconds.
    pub counts: Counts,
    /// Times to first token of the requests whose first token arrived in this second, by length
    /// class.
    pub first_token: BTreeMap<LengthClass, Vec<Duration>>,
}

/// Accumulated samples of one run.
#[derive(Clone, Debug)]
pub struct Recorder {
    /// Time at the start of the run; requests that arrive in it are left out of the summaries.
    pub warmup: Duration,
    /// Completions by length class.
    pub classes: BTreeMap<LengthClass, Summary>,
    /// Completions and calls by team, in the order of the settings.
    pub teams: Vec<(TeamId, Summary)>,
    /// Calls to the application.
    pub calls: Summary,
    /// Refusals by reason and outcome.
    pub refusals: BTreeMap<RefusalKind, u64>,
    /// Errors by kind.
    pub errors: BTreeMap<ErrorKind, u64>,
    /// Samples by second of the run, warm-up included.
    pub seconds: Vec<SecondSamples>,
}

impl Recorder {
    /// Returns an empty recorder for `teams`, or an error if a histogram can't be created.
    pub fn new(teams: &[TeamId], warmup: Duration) -> Result<Self, CreationError> {
        let mut classes = BTreeMap::new();
        for class in LengthClass::iter() {
            classes.insert(class, Summary::new()?);
        }
        let mut team_summaries = Vec::new();
        for team in teams {
            team_summaries.push((team.clone(), Summary::new()?));
        }
        Ok(Self {
            warmup,
            classes,
            teams: team_summaries,
            calls: Summary::new()?,
            refusals: BTreeMap::new(),
            errors: BTreeMap::new(),
            seconds: Vec::new(),
        })
    }

    /// Adds a request that has ended to its second and, after the warm-up, to the summaries.
    pub fn record(&mut self, sample: &Sample) {
        self.record_in_seconds(sample);
        if sample.arrival < self.warmup {
            return;
        }
        match sample.result {
            RequestResult::Refused(kind) => *self.refusals.entry(kind).or_default() += 1,
            RequestResult::Error(kind) => *self.errors.entry(kind).or_default() += 1,
            RequestResult::Complete | RequestResult::Broken => {}
        }
        if let Some((_, summary)) = self.teams.get_mut(sample.team) {
            add_sample(summary, sample);
        }
        let group = match sample.class {
            Some(class) => self.classes.get_mut(&class),
            None => Some(&mut self.calls),
        };
        if let Some(summary) = group {
            add_sample(summary, sample);
        }
    }

    /// Returns the counts over all teams.
    pub fn totals(&self) -> Counts {
        let mut totals = Counts::default();
        for (_, summary) in &self.teams {
            let counts = summary.counts;
            totals.sent += counts.sent;
            totals.complete += counts.complete;
            totals.refused += counts.refused;
            totals.broken += counts.broken;
            totals.errors += counts.errors;
        }
        totals
    }

    fn record_in_seconds(&mut self, sample: &Sample) {
        self.second_mut(sample.arrival).counts.sent += 1;
        self.second_mut(sample.arrival + sample.total_time).counts.record_result(sample.result);
        if let (Some(class), Some(first_token)) = (sample.class, sample.first_token) {
            let second = self.second_mut(sample.arrival + first_token);
            second.first_token.entry(class).or_default().push(first_token);
        }
    }

    fn second_mut(&mut self, offset: Duration) -> &mut SecondSamples {
        let index = offset.as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, SecondSamples::default);
        }
        &mut self.seconds[index]
    }
}

fn add_sample(summary: &mut Summary, sample: &Sample) {
    summary.counts.sent += 1;
    summary.counts.record_result(sample.result);
    if let Some(first_token) = sample.first_token {
        record_time(&mut summary.first_token, first_token);
    }
    for &gap in &sample.token_gaps {
        record_time(&mut summary.token_gaps, gap);
    }
    if let RequestResult::Refused(_) = sample.result {
        record_time(&mut summary.refusal_times, sample.total_time);
    }
}
