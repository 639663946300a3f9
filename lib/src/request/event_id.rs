//! Identifiers of the events that callers get, so that any entry can go on with a stream.

use crate::ids::{AttemptNumber, Position, RequestId, TargetId};
use std::{
    fmt::{Display, Formatter},
    str::FromStr,
};

/// Where an event stands in its answer and who generated it.
///
/// Its text is `{request}.{attempt}.{target}.{position}`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Request of the answer.
    pub request: RequestId,
    /// Attempt that the event came from.
    pub attempt: AttemptNumber,
    /// Target that generated it.
    pub target: TargetId,
    /// Position of the token, or the length of the answer at its end.
    pub position: Position,
}

/// Why a text is not an event identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event identifier has the form request.attempt.target.position")]
pub struct EventIdError;

impl Display for EventId {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}.{}", self.request, self.attempt, self.target, self.position)
    }
}

impl FromStr for EventId {
    type Err = EventIdError;

    fn from_str(text: &str) -> Result<Self, EventIdError> {
        let mut parts = text.split('.');
        let (Some(request), Some(attempt), Some(target), Some(position), None) =
            (parts.next(), parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(EventIdError);
        };
        Ok(Self {
            request: request.parse().map_err(|_| EventIdError)?,
            attempt: attempt.parse().map_err(|_| EventIdError)?,
            target: target.to_owned(),
            position: position.parse().map_err(|_| EventIdError)?,
        })
    }
}
