//! Rounds of attempts, with the targets tried in each and the waits between them.

use fulmarhead_lib::{
    ids::TargetId,
    outcome::{Outcome, Reason, Refusal},
};
use std::{collections::BTreeSet, time::Duration};

/// Maximum number of targets that a request tries before it waits.
const TARGETS_PER_ROUND: usize = 4;

/// Wait after the first round; each further round doubles it.
const INITIAL_WAIT: Duration = Duration::from_millis(20);

/// Maximum wait between two rounds.
///
/// It can be short because a round sends nothing unless a target has capacity.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// State of the rounds of one request.
#[derive(Clone, Debug)]
pub(super) struct RetryRounds {
    tried: BTreeSet<TargetId>,
    /// Whether the round was ended before all its targets were tried.
    ended: bool,
    next_wait: Duration,
    last_refusal: Refusal,
}

impl RetryRounds {
    /// Returns the state before the first attempt.
    pub(super) fn new() -> Self {
        Self {
            tried: BTreeSet::new(),
            ended: false,
            next_wait: INITIAL_WAIT,
            last_refusal: Refusal::not_run(Reason::NoTarget).with_retry_after(MAX_WAIT),
        }
    }

    /// Returns the targets that were tried in this round without success.
    pub(super) fn tried(&self) -> &BTreeSet<TargetId> {
        &self.tried
    }

    /// Records that an attempt at `target` was refused or failed.
    pub(super) fn record_failed_attempt(&mut self, target: &str, refusal: Refusal) {
        self.tried.insert(target.to_owned());
        self.last_refusal = refusal;
    }

    /// Ends the round after a refusal that concerns all targets.
    pub(super) fn end_round(&mut self, refusal: Refusal) {
        self.ended = true;
        self.last_refusal = refusal;
    }

    /// Returns whether no further target is to be tried in this round.
    pub(super) fn is_round_over(&self) -> bool {
        self.ended || self.tried.len() >= TARGETS_PER_ROUND
    }

    /// Starts the next round and returns the wait before its first attempt.
    pub(super) fn next_round(&mut self) -> Duration {
        self.tried.clear();
        self.ended = false;
        let wait = self.next_wait;
        self.next_wait = (wait * 2).min(MAX_WAIT);
        wait
    }

    /// Returns the refusal for a request that no target accepted: the last one, with outcome
    /// `NotRun`.
    pub(super) fn last_refusal(&self) -> Refusal {
        Refusal { outcome: Outcome::NotRun, ..self.last_refusal }
    }
}
