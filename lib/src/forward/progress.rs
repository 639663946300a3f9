//! Progress of an answer.

use strum::{Display, IntoStaticStr};

/// How much of its answer a target has sent in one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Progress {
    /// Nothing: the request waits, or its prompt is being prefilled.
    Waiting,
    /// The head, so that the target has begun to generate the answer.
    Begun,
    /// Events, of which the first has just arrived. A target that crashes now may do so because of
    /// the request.
    Started,
    /// Events for some time.
    Streaming,
}
