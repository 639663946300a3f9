//! How requests and attempts end.

use strum::{Display, IntoStaticStr};

/// Why a request has no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// No configuration is known, or it is too old to trust its keys.
    StaleConfiguration,
    /// The service has no target that may be used.
    NoTarget,
    /// All targets of the service have as much work as they take.
    Overloaded,
    /// All targets that were asked refused the request before it ran.
    Rejected,
    /// The time limit has passed.
    Timeout,
    /// The connection to the target failed after the request was sent.
    ConnectionLost,
    /// The target sent nothing for longer than its work explains.
    Silent,
    /// The target's answer broke off, belongs to another request or can't be read.
    BadAnswer,
}

/// How a request ends that gets no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The request has not run and never will.
    NotRun(Failure),
    /// The request may have run.
    Unknown(Failure),
}
