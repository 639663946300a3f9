//! Fencing numbers of one life of an agent.

use crate::ids::FencingToken;
use std::time::SystemTime;

/// Another agent has given orders to the engine since this life began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the engine has taken an order with fencing number {engine}, above {own} of this agent")]
pub struct Superseded {
    /// Highest number that the engine reports.
    pub engine: FencingToken,
    /// Highest number that this life could have given.
    pub own: FencingToken,
}

/// Hands out numbers that only rise, over restarts too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fencing {
    last: FencingToken,
}

impl Fencing {
    /// Starts a life at wall-clock time `wall`, at an engine that last reported `engine`.
    ///
    /// The first number is above that of the engine; the time keeps it above the numbers of
    /// earlier lives where the engine forgets its number in a restart.
    pub fn new(wall: SystemTime, engine: FencingToken) -> Self {
        let since = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let millis = FencingToken::try_from(since.as_millis()).unwrap_or_default();
        Self { last: millis.max(engine) }
    }

    /// Returns the next number; fails if the engine has seen a higher one than this life gave.
    ///
    /// An agent that wakes late must not overtake its successor, so it does not continue from
    /// the number that the engine reports.
    pub fn next(&mut self, engine: FencingToken) -> Result<FencingToken, Superseded> {
        if engine > self.last {
            return Err(Superseded { engine, own: self.last });
        }
        self.last = self.last.saturating_add(1);
        Ok(self.last)
    }
}
