//! Which targets were tried, and how long to wait before the next try.

use fulmarhead_lib::{
    ids::TargetId,
    outcome::{Outcome, Reason, Refusal},
};
use std::{collections::BTreeSet, time::Duration};

/// Targets that one request tries before it waits.
const TRIES: usize = 4;

/// Wait after the first round of refusals; each further round doubles it.
const FIRST_WAIT: Duration = Duration::from_millis(20);

/// Longest wait between two rounds; a round without a target that has room sends nothing.
const LONGEST_WAIT: Duration = Duration::from_millis(100);

/// Pace of the attempts of one request.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    tried: BTreeSet<TargetId>,
    ended: bool,
    wait: Duration,
    last: Refusal,
}

impl Pace {
    /// Returns the pace of a request that has tried nothing.
    pub(super) fn new() -> Self {
        Self {
            tried: BTreeSet::new(),
            ended: false,
            wait: FIRST_WAIT,
            last: Refusal::not_run(Reason::NoTarget).with_retry_after(LONGEST_WAIT),
        }
    }

    /// Returns the targets that refused in this round.
    pub(super) fn tried(&self) -> &BTreeSet<TargetId> {
        &self.tried
    }

    /// Records a refusal by a target.
    pub(super) fn refused(&mut self, target: &str, refusal: Refusal) {
        self.tried.insert(target.to_owned());
        self.last = refusal;
    }

    /// Records a refusal after which no other target can help in this round.
    pub(super) fn end_round(&mut self, refusal: Refusal) {
        self.ended = true;
        self.last = refusal;
    }

    /// Returns whether the round is over.
    pub(super) fn is_round_over(&self) -> bool {
        self.ended || self.tried.len() >= TRIES
    }

    /// Starts the next round; returns how long to wait before it.
    pub(super) fn next_round(&mut self) -> Duration {
        self.tried.clear();
        self.ended = false;
        let wait = self.wait;
        self.wait = (wait * 2).min(LONGEST_WAIT);
        wait
    }

    /// Returns what to tell a caller that no target could take.
    pub(super) fn last(&self) -> Refusal {
        Refusal { outcome: Outcome::NotRun, ..self.last }
    }
}
