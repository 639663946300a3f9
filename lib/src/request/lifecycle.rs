//! States of a caller's request, received and admitted, and its attempts.

use super::{cursor::Cursor, deadline::Deadline};
use crate::{
    cost::Cost,
    ids::{AttemptNumber, Position, RequestId, TeamId},
    outcome::{Outcome, Reason, Refusal},
};
use std::time::Instant;

/// State of a request whose caller is authenticated but whose cost was not charged yet.
#[derive(Debug)]
pub struct Received;

/// State of an admitted request, which gets an answer or a refusal before its deadline.
#[derive(Debug)]
pub struct Admitted {
    cursor: Cursor,
    /// Whether the newest attempt was sent and not refused.
    attempt_may_run: bool,
    /// Whether an attempt failed after it may have run.
    possibly_run: bool,
    retry_safe: bool,
}

/// A caller's request at `fulmarhead-entry`, with its state as type parameter. Requests that
/// `fulmarhead-gateway` forwards are of the type [`forward::Call`](crate::forward::Call).
#[derive(Debug)]
pub struct Request<S> {
    /// Identifier, the same for all attempts.
    pub id: RequestId,
    /// Team that is charged for the request.
    pub team: TeamId,
    /// Estimated cost, in tokens.
    pub cost: Cost,
    /// Time by which the caller gets an answer or a refusal.
    pub deadline: Deadline,
    state: S,
}

/// One attempt of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Request to which the attempt belongs.
    pub request: RequestId,
    /// Number of the attempt within the request.
    pub number: AttemptNumber,
    /// Position of the first token that the caller needs.
    pub position: Position,
}

impl Request<Received> {
    /// Returns a request that was received and not yet admitted.
    pub fn new(id: RequestId, team: TeamId, cost: Cost, deadline: Deadline) -> Self {
        Self { id, team, cost, deadline, state: Received }
    }

    /// Admits the request.
    ///
    /// `cursor` is the position of the caller in the stream, and `retry_safe` says whether the
    /// request may run more than once.
    pub fn admit(self, cursor: Cursor, retry_safe: bool) -> Request<Admitted> {
        let state = Admitted { cursor, attempt_may_run: false, possibly_run: false, retry_safe };
        Request { id: self.id, team: self.team, cost: self.cost, deadline: self.deadline, state }
    }
}

impl Request<Admitted> {
    /// Returns the cursor of the caller's stream.
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
        self.state.attempt_may_run = true;
    }

    /// Records that the target refused the current attempt without running it.
    pub fn record_refusal(&mut self) {
        self.state.attempt_may_run = false;
    }

    /// Records that the current attempt failed after it may have run.
    pub fn record_failure(&mut self) {
        self.state.possibly_run = true;
    }

    /// Returns the refusal of an attempt with the outcome of the whole request, of which an earlier
    /// attempt may have run.
    pub fn correct_outcome(&self, refusal: Refusal) -> Refusal {
        match refusal.outcome {
            Outcome::NotRun if self.state.possibly_run => {
                Refusal { outcome: Outcome::Failed, ..refusal }
            }
            _ => refusal,
        }
    }

    /// Returns whether another attempt may be made at `now` after `refusal`.
    pub fn may_retry(&self, refusal: &Refusal, now: Instant) -> bool {
        let safe = self.state.retry_safe || refusal.outcome == Outcome::NotRun;
        safe && refusal.reason.is_retryable() && !self.deadline.has_passed(now)
    }

    /// Returns the refusal for a request whose deadline has passed, with whether it may have run.
    pub fn timeout_refusal(&self) -> Refusal {
        match self.may_have_run() {
            false => Refusal::not_run(Reason::DeadlineExceeded),
            true => self.lost_refusal(Reason::DeadlineExceeded),
        }
    }

    /// Returns the refusal for a request that ends because its process does, with whether it may have
    /// run.
    pub fn stop_refusal(&self) -> Refusal {
        match self.may_have_run() {
            false => Refusal::not_run(Reason::ShuttingDown),
            true => self.lost_refusal(Reason::Interrupted),
        }
    }

    fn may_have_run(&self) -> bool {
        self.state.attempt_may_run || self.state.possibly_run
    }

    fn lost_refusal(&self, reason: Reason) -> Refusal {
        match self.state.retry_safe {
            true => Refusal::failed(reason),
            false => Refusal::unknown(reason),
        }
    }
}
