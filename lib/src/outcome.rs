//! Refusals and what they say about the refused request.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What is known of a request that got no answer.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It has not run and will never run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran and failed.
    Failed,
}

/// Stable codes of refusals.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The body or a header can't be parsed.
    MalformedRequest,
    /// The body is over the configured size.
    BodyTooLarge,
    /// The sender took too long over the body.
    BodyTimeout,
    /// The bearer token is missing or belongs to no team.
    InvalidToken,
    /// The team may not use the model.
    ModelNotAllowed,
    /// No such model is configured.
    UnknownModel,
    /// No such application or route is configured.
    UnknownApplication,
    /// The requested time limit is outside the configured bounds.
    InvalidDeadline,
    /// The prompt and answer are over what all engines of the model can hold.
    PromptTooLong,
    /// The route may not be repeated and the request has no idempotency key.
    KeyRequired,
    /// The idempotency key was not issued by fulmarhead.
    KeyNotIssued,
    /// The idempotency key was used before for another request.
    KeyReused,
    /// The idempotency key is older than the retention of answers.
    KeyExpired,
    /// The idempotency key's issue time lies in the future.
    KeyFromFuture,
    /// The agent that owned the key has ended.
    KeyOwnerGone,
    /// The agent that owns the key can't be reached.
    KeyOwnerUnreachable,
    /// The request with this key runs at the moment.
    KeyInProgress,
    /// The request with this key has run and its answer is not kept any more.
    AnswerNotKept,
    /// The agent can't record another key.
    LedgerFull,
    /// The team has used up its budget.
    TeamLimit,
    /// No target that is in service can take the request.
    NoTarget,
    /// The target has no room for the request at the moment.
    Overloaded,
    /// The target is cold and carries only part of its load.
    ColdStart,
    /// The target or its zone is out of service.
    OutOfService,
    /// The process is shutting down.
    ShuttingDown,
    /// Engine memory could not be reserved.
    NoMemory,
    /// The lease on engine memory has expired or is unknown.
    LeaseExpired,
    /// The time limit can't be met.
    DeadlineUnreachable,
    /// The time limit has passed.
    DeadlineExceeded,
    /// The target failed.
    TargetFailed,
    /// No configuration is in force yet.
    NoConfiguration,
    /// The agent does not serve the target that the request names.
    WrongTarget,
}

impl Reason {
    /// Returns the HTTP status that fits the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::MalformedRequest
            | Self::InvalidDeadline
            | Self::KeyRequired
            | Self::KeyNotIssued
            | Self::KeyFromFuture => 400,
            Self::InvalidToken => 401,
            Self::ModelNotAllowed => 403,
            Self::UnknownModel | Self::UnknownApplication => 404,
            Self::BodyTimeout => 408,
            Self::KeyInProgress => 409,
            Self::KeyExpired | Self::AnswerNotKept => 410,
            Self::BodyTooLarge | Self::PromptTooLong => 413,
            Self::WrongTarget => 421,
            Self::KeyReused => 422,
            Self::TeamLimit => 429,
            Self::TargetFailed | Self::KeyOwnerGone | Self::KeyOwnerUnreachable => 502,
            Self::DeadlineUnreachable | Self::DeadlineExceeded => 504,
            Self::LedgerFull
            | Self::NoTarget
            | Self::Overloaded
            | Self::ColdStart
            | Self::OutOfService
            | Self::ShuttingDown
            | Self::NoMemory
            | Self::LeaseExpired
            | Self::NoConfiguration => 503,
        }
    }

    /// Returns whether another target may take a request that got this refusal.
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::NoTarget
                | Self::Overloaded
                | Self::ColdStart
                | Self::OutOfService
                | Self::ShuttingDown
                | Self::NoMemory
                | Self::LeaseExpired
                | Self::NoConfiguration
                | Self::WrongTarget
                | Self::TargetFailed
        )
    }
}

/// A refusal, as agents give it to entries and entries to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{reason} ({outcome})")]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// What is known of the request.
    pub outcome: Outcome,
    /// After what time another try may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that has not run and will not.
    pub fn not_run(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None }
    }

    /// Returns a refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Returns a refusal of a request that ran and failed.
    pub fn failed(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::Failed, retry_after: None }
    }

    /// Returns the refusal of a call with an idempotency key by a process that has not asked the
    /// key's ledger.
    ///
    /// An earlier call with the key may have run, whatever kept this one from being sent.
    pub fn without_ledger(self) -> Self {
        match self.outcome {
            Outcome::NotRun => Self { outcome: Outcome::Unknown, ..self },
            Outcome::Unknown | Outcome::Failed => self,
        }
    }

    /// Adds the time after which another try may succeed.
    pub fn after(self, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..self }
    }
}
