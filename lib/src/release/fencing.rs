//! Fencing tokens that one incarnation of an agent issues.

use crate::ids::FencingToken;
use std::time::SystemTime;

/// Error returned if another agent has issued an order to the engine with a higher fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "superseded by another agent: the engine reports fencing token {engine_fencing}, but this \
     agent has issued none above {own_fencing}"
)]
pub struct Superseded {
    /// Highest fencing token that the engine reports.
    pub engine_fencing: FencingToken,
    /// Highest fencing token that this incarnation can have issued.
    pub own_fencing: FencingToken,
}

/// Issues strictly increasing fencing tokens, also across restarts of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingSequence {
    last: FencingToken,
}

impl FencingSequence {
    /// Creates the sequence of an incarnation that starts at wall-clock time `wall`, for an engine
    /// that last reported `engine_fencing`.
    ///
    /// The first token is greater than `engine_fencing` and than `wall` in milliseconds. The time
    /// keeps it above the tokens of earlier incarnations if the engine loses its highest token in
    /// a restart.
    pub fn new(wall: SystemTime, engine_fencing: FencingToken) -> Self {
        let since_epoch = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let millis = FencingToken::try_from(since_epoch.as_millis()).unwrap_or_default();
        Self { last: millis.max(engine_fencing) }
    }

    /// Returns the next token.
    ///
    /// # Errors
    ///
    /// Returns [`Superseded`] if the engine reports a higher token than this incarnation has
    /// issued. An agent that resumes after a pause must not issue orders if another incarnation has
    /// taken over its target, so it does not continue from the token that the engine reports.
    pub fn next(&mut self, engine_fencing: FencingToken) -> Result<FencingToken, Superseded> {
        if engine_fencing > self.last {
            return Err(Superseded { engine_fencing, own_fencing: self.last });
        }
        self.last = self.last.saturating_add(1);
        Ok(self.last)
    }
}
