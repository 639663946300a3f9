//! History of load samples, so that the engine can report its load with a lag.

use fulmarhead_lib::ids::Tokens;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Load of the engine at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LoadSample {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) prefill_waiting: Tokens,
    pub(super) kv_used: Tokens,
}

/// Load samples of the time that the lag covers.
#[derive(Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    samples: VecDeque<(Instant, LoadSample)>,
}

impl LoadHistory {
    /// Returns the history of an engine that has just started.
    pub(super) fn new(lag: Duration, now: Instant) -> Self {
        Self { lag, samples: VecDeque::from([(now, LoadSample::default())]) }
    }

    /// Records the load at `now`, unless it is unchanged.
    pub(super) fn record(&mut self, now: Instant, sample: LoadSample) {
        let first = self.samples.len() == 1;
        match self.samples.back_mut() {
            Some(last) if last.1 == sample => return,
            // The first sample also stands for all time before it.
            Some(last) if last.0 == now && !first => last.1 = sample,
            _ => self.samples.push_back((now, sample)),
        }
        self.prune(now);
    }

    /// Returns the sample that is reported at `now`: the load one lag earlier.
    pub(super) fn reported(&mut self, now: Instant) -> LoadSample {
        self.prune(now);
        self.samples.front().map(|&(_, sample)| sample).unwrap_or_default()
    }

    fn prune(&mut self, now: Instant) {
        while self.samples.get(1).is_some_and(|&(at, _)| at + self.lag <= now) {
            self.samples.pop_front();
        }
    }
}
