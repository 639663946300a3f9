//! Identifiers of the events sent to callers, with which any entry can resume a stream.

use crate::ids::{AttemptNumber, Position, RequestId, TargetId};
use std::{
    fmt::{Display, Formatter},
    str::FromStr,
};

/// Identifier of an event: its request, the attempt and the target that generated it, and its
/// position in the answer.
///
/// The text form is `{request}.{attempt}.{target}.{position}`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Request that the event answers.
    pub request: RequestId,
    /// Attempt that generated the event.
    pub attempt: AttemptNumber,
    /// Target of that attempt.
    pub target: TargetId,
    /// Position of the token, or the length of the answer for the final event.
    pub position: Position,
}

/// Error for a text that does not have the form of an event identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid event identifier: expected request.attempt.target.position")]
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
