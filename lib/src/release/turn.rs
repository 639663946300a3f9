//! The turn of a target to change, as a life cycle.
//!
//! A turn is claimed before the group is asked and given back if the group does not allow it. Of
//! two targets that claim at the same time, the one that claimed last sees the claim of the
//! other, because it asks after its own claim.

use super::order::Order;
use std::time::Instant;

/// The target has no turn.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting;

/// The target wants to change and shows this to its group.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claimed;

/// The target finishes its work and then changes.
#[derive(Clone, Debug)]
pub(super) struct Changing {
    /// When the turn began.
    pub(super) since: Instant,
    /// The last order, when it was given, and the engine's restarts at that time.
    pub(super) given: Option<(Order, Instant, u64)>,
    /// When the engine last refused an order.
    pub(super) refused: Option<Instant>,
}

/// A turn in one state of its life cycle.
#[derive(Clone, Debug)]
pub(super) struct Turn<S> {
    /// Data of the state.
    pub(super) state: S,
}

impl Turn<Waiting> {
    /// Returns a turn that was not claimed.
    pub(super) fn new() -> Self {
        Self { state: Waiting }
    }

    /// Shows the group that the target wants to change.
    pub(super) fn claim(self) -> Turn<Claimed> {
        Turn { state: Claimed }
    }
}

impl Turn<Claimed> {
    /// Takes the turn that the whole group allows.
    pub(super) fn begin(self, since: Instant) -> Turn<Changing> {
        Turn { state: Changing { since, given: None, refused: None } }
    }

    /// Gives the claim back.
    pub(super) fn withdraw(self) -> Turn<Waiting> {
        Turn { state: Waiting }
    }
}

impl Turn<Changing> {
    /// Ends the turn.
    pub(super) fn end(self) -> Turn<Waiting> {
        Turn { state: Waiting }
    }
}

/// A turn in any state.
#[derive(Clone, Debug)]
pub(super) enum AnyTurn {
    Waiting(Turn<Waiting>),
    Claimed(Turn<Claimed>),
    Changing(Turn<Changing>),
}
