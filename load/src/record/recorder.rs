//! Collects the samples of one run.

use super::{
    ending::{Ending, ErrorKind, Refused},
    summary::{Counts, Summary, record},
};
use fulmarhead_lib::{cost::LengthClass, ids::TeamId};
use hdrhistogram::CreationError;
use std::{collections::BTreeMap, time::Duration};
use strum::IntoEnumIterator;

/// One request that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Index of the team.
    pub team: usize,
    /// Class of the prompt; none for a call to the application.
    pub class: Option<LengthClass>,
    /// Time of arrival since the start.
    pub arrival: Duration,
    /// Time from the arrival to the first token or to the answer of a call.
    pub first: Option<Duration>,
    /// Times between two tokens.
    pub gaps: Vec<Duration>,
    /// Time from the arrival to the end.
    pub total: Duration,
    /// How the request ended.
    pub ending: Ending,
}

/// What happened in one second of the run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Second {
    /// Requests that arrived and requests that ended in this second.
    pub counts: Counts,
    /// Times to first token that ended in this second, by class.
    pub first: BTreeMap<LengthClass, Vec<Duration>>,
}

/// All samples of one run.
#[derive(Clone, Debug)]
pub struct Recorder {
    /// Time at the start whose requests are left out of the summaries.
    pub warmup: Duration,
    /// Prompts by length class.
    pub classes: BTreeMap<LengthClass, Summary>,
    /// Prompts and calls by team, in the order of the settings.
    pub teams: Vec<(TeamId, Summary)>,
    /// Calls to the application.
    pub calls: Summary,
    /// Refusals by reason and outcome.
    pub refusals: BTreeMap<Refused, u64>,
    /// Errors by kind.
    pub errors: BTreeMap<ErrorKind, u64>,
    /// Every second of the run, the warm-up included.
    pub seconds: Vec<Second>,
}

impl Recorder {
    /// Returns an empty recorder.
    pub fn new(teams: &[TeamId], warmup: Duration) -> Result<Self, CreationError> {
        let mut classes = BTreeMap::new();
        for class in LengthClass::iter() {
            classes.insert(class, Summary::new()?);
        }
        let mut named = Vec::new();
        for team in teams {
            named.push((team.clone(), Summary::new()?));
        }
        Ok(Self {
            warmup,
            classes,
            teams: named,
            calls: Summary::new()?,
            refusals: BTreeMap::new(),
            errors: BTreeMap::new(),
            seconds: Vec::new(),
        })
    }

    /// Records a request that has ended.
    pub fn record(&mut self, sample: &Sample) {
        self.record_seconds(sample);
        if sample.arrival < self.warmup {
            return;
        }
        match sample.ending {
            Ending::Refused(refused) => *self.refusals.entry(refused).or_default() += 1,
            Ending::Error(kind) => *self.errors.entry(kind).or_default() += 1,
            Ending::Complete | Ending::Broken => {}
        }
        if let Some((_, summary)) = self.teams.get_mut(sample.team) {
            add(summary, sample);
        }
        let group = match sample.class {
            Some(class) => self.classes.get_mut(&class),
            None => Some(&mut self.calls),
        };
        if let Some(summary) = group {
            add(summary, sample);
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

    fn record_seconds(&mut self, sample: &Sample) {
        self.second(sample.arrival).counts.sent += 1;
        self.second(sample.arrival + sample.total).counts.end(sample.ending);
        if let (Some(class), Some(first)) = (sample.class, sample.first) {
            let second = self.second(sample.arrival + first);
            second.first.entry(class).or_default().push(first);
        }
    }

    fn second(&mut self, at: Duration) -> &mut Second {
        let index = at.as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, Second::default);
        }
        &mut self.seconds[index]
    }
}

fn add(summary: &mut Summary, sample: &Sample) {
    summary.counts.sent += 1;
    summary.counts.end(sample.ending);
    if let Some(first) = sample.first {
        record(&mut summary.first, first);
    }
    for &gap in &sample.gaps {
        record(&mut summary.gaps, gap);
    }
    if let Ending::Refused(_) = sample.ending {
        record(&mut summary.refusals, sample.total);
    }
}
