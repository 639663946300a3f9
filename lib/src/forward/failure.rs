//! Failures of requests and attempts.

use strum::{Display, IntoStaticStr};

/// Reason why a request was not answered by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// No configuration is available, or it is too old for its API keys to be trusted.
    StaleConfiguration,
    /// The service has no usable target.
    NoTarget,
    /// All targets of the service are at capacity, or the retry budget is exhausted.
    Overloaded,
    /// All targets of the service have asked for no requests for some time.
    Paused,
    /// The entry is stopping, and the request might not end before it does.
    Stopping,
    /// A part of the prompt is quarantined because it crashes targets.
    Quarantined,
    /// All targets that were tried refused the request before it ran.
    Rejected,
    /// The deadline of the request has passed.
    Timeout,
    /// The connection to the target failed after the request was sent.
    ConnectionLost,
    /// The target sent nothing for longer than its load explains.
    Silent,
    /// The target's answer is incomplete, malformed or an error, or belongs to another request.
    BadAnswer,
}

/// Whether a request that no target answered may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureOutcome {
    /// The request did not run and will not run.
    NotRun(Failure),
    /// The request may have run.
    Unknown(Failure),
}
