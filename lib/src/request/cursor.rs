//! Order of a stream: each position is passed on once, whatever attempts send.

use crate::ids::{AttemptNumber, Position};

/// One item of an engine's stream.
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
        /// Why the answer ended, such as `stop` or `length`.
        finish: String,
    },
}

/// Position of a caller in its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    attempt: AttemptNumber,
    next: Position,
    ended: bool,
}

/// What to do with an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on.
    Deliver,
    /// Drop it: it was passed on before or belongs to an older attempt.
    Drop,
    /// The stream has a gap and can't be trusted.
    Gap,
}

impl Cursor {
    /// Returns a cursor at attempt `attempt` whose caller has seen all tokens before `next`.
    pub fn new(attempt: AttemptNumber, next: Position) -> Self {
        Self { attempt, next, ended: false }
    }

    /// Starts the next attempt; items of older attempts are dropped from now on.
    pub fn next_attempt(&mut self) -> AttemptNumber {
        self.attempt += 1;
        self.attempt
    }

    /// Returns the position that the caller needs next.
    pub fn position(&self) -> Position {
        self.next
    }

    /// Returns the number of the current attempt.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns whether the caller has the whole answer.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Decides what to do with an item of attempt `attempt`.
    pub fn accept(&mut self, attempt: AttemptNumber, item: &StreamItem) -> Verdict {
        if attempt != self.attempt || self.ended {
            return Verdict::Drop;
        }
        match *item {
            StreamItem::Token { position, .. } if position < self.next => Verdict::Drop,
            StreamItem::Token { position, .. } if position == self.next => {
                self.next += 1;
                Verdict::Deliver
            }
            StreamItem::End { length, .. } if length <= self.next => {
                self.ended = true;
                Verdict::Deliver
            }
            _ => Verdict::Gap,
        }
    }
}
