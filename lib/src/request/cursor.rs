//! Deduplication of a stream: each position is delivered once, even if several attempts send it.

use crate::ids::{AttemptNumber, Position, Tokens};

/// Item of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A generated token.
    Token {
        /// Index of the token in the answer.
        position: Position,
        /// Text of the token.
        text: String,
    },
    /// The end of the answer.
    End {
        /// Number of tokens in the answer.
        length: Position,
        /// Finish reason, such as `stop` or `length`.
        finish: String,
        /// Number of prompt tokens that the engine had in its cache, if it says so.
        cached: Option<Tokens>,
    },
}

/// Position of a caller in its stream, and the attempt whose items are accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    attempt: AttemptNumber,
    next: Position,
    ended: bool,
}

/// Action for an item of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemAction {
    /// Deliver the item to the caller.
    Deliver,
    /// Drop the item, because it was already delivered, belongs to an older attempt or follows the
    /// end of the answer.
    Drop,
    /// End the attempt, because its stream has a gap.
    EndAttempt,
}

impl Cursor {
    /// Returns a cursor at attempt `attempt` whose caller has received all tokens before `next`.
    pub fn new(attempt: AttemptNumber, next: Position) -> Self {
        Self { attempt, next, ended: false }
    }

    /// Starts the next attempt and returns its number; items of older attempts are dropped from now
    /// on.
    pub fn next_attempt(&mut self) -> AttemptNumber {
        self.attempt += 1;
        self.attempt
    }

    /// Returns the position of the next token for the caller.
    pub fn position(&self) -> Position {
        self.next
    }

    /// Returns the number of the current attempt.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns whether the end of the answer was delivered.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns the action for an item of attempt `attempt`, and advances if it is delivered.
    pub fn accept(&mut self, attempt: AttemptNumber, item: &StreamItem) -> ItemAction {
        if attempt != self.attempt || self.ended {
            return ItemAction::Drop;
        }
        match *item {
            StreamItem::Token { position, .. } if position < self.next => ItemAction::Drop,
            StreamItem::Token { position, .. } if position == self.next => {
                self.next += 1;
                ItemAction::Deliver
            }
            StreamItem::End { length, .. } if length <= self.next => {
                self.ended = true;
                ItemAction::Deliver
            }
            _ => ItemAction::EndAttempt,
        }
    }
}
