//! Figures of the load, which the engine reports with a lag.

use fulmarhead_lib::ids::Tokens;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Figures at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Figures {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) prefill_waiting: Tokens,
    pub(super) kv_used: Tokens,
}

/// Figures of the time that the lag covers.
#[derive(Debug)]
pub(super) struct History {
    lag: Duration,
    figures: VecDeque<(Instant, Figures)>,
}

impl History {
    /// Returns the history of an engine that has just started.
    pub(super) fn new(lag: Duration, now: Instant) -> Self {
        Self { lag, figures: VecDeque::from([(now, Figures::default())]) }
    }

    /// Records the figures at `now`.
    pub(super) fn record(&mut self, now: Instant, figures: Figures) {
        let first = self.figures.len() == 1;
        match self.figures.back_mut() {
            Some(last) if last.1 == figures => return,
            // The first figures stand for all time before them.
            Some(last) if last.0 == now && !first => last.1 = figures,
            _ => self.figures.push_back((now, figures)),
        }
        self.prune(now);
    }

    /// Returns the figures that are reported at `now`.
    pub(super) fn shown(&mut self, now: Instant) -> Figures {
        self.prune(now);
        self.figures.front().map(|&(_, figures)| figures).unwrap_or_default()
    }

    fn prune(&mut self, now: Instant) {
        while self.figures.get(1).is_some_and(|&(at, _)| at + self.lag <= now) {
            self.figures.pop_front();
        }
    }
}
