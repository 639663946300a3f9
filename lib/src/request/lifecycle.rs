//! States of a caller's request: received, admitted, and its attempts.

use super::{cursor::Cursor, deadline::Deadline};
use crate::{
    cost::Cost,
    ids::{AttemptNumber, Position, RequestId, TeamId},
    outcome::{Outcome, Reason, Refusal},
};
use std::time::Instant;

/// Life cycle of a request: its caller is known and its budget was not taken.
#[derive(Debug)]
pub struct Received;

/// Life cycle of a request: it is admitted and gets an answer or a refusal in time.
#[derive(Debug)]
pub struct Admitted {
    cursor: Cursor,
    dispatched: bool,
    repeatable: bool,
}

/// A caller's request at an entry.
#[derive(Debug)]
pub struct Request<S> {
    /// Identifier of the request.
    pub id: RequestId,
    /// Team of the caller.
    pub team: TeamId,
    /// Estimated cost.
    pub cost: Cost,
    /// End of the time limit.
    pub deadline: Deadline,
    state: S,
}

/// One attempt of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Request of the attempt.
    pub request: RequestId,
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// Position of the first token that the caller needs.
    pub position: Position,
}

impl Request<Received> {
    /// Returns a request that was just received.
    pub fn new(id: RequestId, team: TeamId, cost: Cost, deadline: Deadline) -> Self {
        Self { id, team, cost, deadline, state: Received }
    }

    /// Admits the request; `cursor` says what its caller has seen.
    pub fn admit(self, cursor: Cursor, repeatable: bool) -> Request<Admitted> {
        let state = Admitted { cursor, dispatched: false, repeatable };
        Request { id: self.id, team: self.team, cost: self.cost, deadline: self.deadline, state }
    }
}

impl Request<Admitted> {
    /// Returns the order of the caller's stream.
    pub fn cursor(&mut self) -> &mut Cursor {
        &mut self.state.cursor
    }

    /// Returns the attempt to send now.
    pub fn attempt(&self) -> Attempt {
        let cursor = &self.state.cursor;
        Attempt { request: self.id, number: cursor.attempt(), position: cursor.position() }
    }

    /// Records that the current attempt is about to be sent.
    pub fn dispatch(&mut self) {
        self.state.dispatched = true;
    }

    /// Records that the target refused the current attempt before it ran.
    pub fn refused(&mut self) {
        self.state.dispatched = false;
    }

    /// Returns whether another attempt may be made after a failure at `now`.
    pub fn may_retry(&self, refusal: &Refusal, now: Instant) -> bool {
        let safe = self.state.repeatable || refusal.outcome == Outcome::NotRun;
        safe && refusal.reason.is_retryable() && !self.deadline.has_passed(now)
    }

    /// Returns what is true of the request once its time limit has passed.
    pub fn expire(&self) -> Refusal {
        match (self.state.dispatched, self.state.repeatable) {
            (false, _) => Refusal::not_run(Reason::DeadlineExceeded),
            (true, true) => Refusal::failed(Reason::DeadlineExceeded),
            (true, false) => Refusal::unknown(Reason::DeadlineExceeded),
        }
    }
}
