//! The turn of a target to change, as a state machine in the type system.
//!
//! A target claims a turn before it reads the reports of its group, and withdraws the claim if the
//! reports do not permit the change. If two targets claim concurrently, the one that claimed last
//! sees the claim of the other, because it reads the reports after its own claim.

use super::order::Order;
use std::time::Instant;

/// Type state: the target has no turn.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting;

/// Type state: the target has claimed a turn, which its group can see.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claimed;

/// Type state: the target finishes its running work and then changes.
#[derive(Clone, Debug)]
pub(super) struct Changing {
    /// Start of the turn.
    pub(super) began_at: Instant,
    /// The last order, the time it was issued and the engine's restart count at that time.
    pub(super) last_order: Option<(Order, Instant, u64)>,
    /// Time of the last order that the engine refused.
    pub(super) refused_at: Option<Instant>,
}

/// State `S` of a target with regard to its turn to change.
#[derive(Clone, Debug)]
pub(super) struct Turn<S> {
    pub(super) state: S,
}

impl Turn<Waiting> {
    /// Creates the state of a target without a turn.
    pub(super) fn new() -> Self {
        Self { state: Waiting }
    }

    /// Claims a turn, which the group sees in the next report.
    pub(super) fn claim(self) -> Turn<Claimed> {
        Turn { state: Claimed }
    }
}

impl Turn<Claimed> {
    /// Begins the change; the group must permit it unless the target is out of service.
    pub(super) fn begin(self, began_at: Instant) -> Turn<Changing> {
        Turn { state: Changing { began_at, last_order: None, refused_at: None } }
    }

    /// Withdraws the claim.
    pub(super) fn withdraw(self) -> Turn<Waiting> {
        Turn { state: Waiting }
    }
}

impl Turn<Changing> {
    pub(super) fn end(self) -> Turn<Waiting> {
        Turn { state: Waiting }
    }
}

/// Any state of a target with regard to its turn.
#[derive(Clone, Debug)]
pub(super) enum AnyTurn {
    Waiting(Turn<Waiting>),
    Claimed(Turn<Claimed>),
    Changing(Turn<Changing>),
}
