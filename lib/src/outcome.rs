//! Refusals of requests, with their reason and whether the request may have run.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether a request that received no answer has run.
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
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran and failed.
    Failed,
}

/// Stable codes of refusals, which are part of the answers to callers.
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
    /// The body or a header is malformed.
    MalformedRequest,
    /// The body exceeds the configured maximum size.
    BodyTooLarge,
    /// The caller took too long to send the body.
    BodyTimeout,
    /// The memory of the process for bodies is used up.
    NoBodyMemory,
    /// The bearer token is missing or belongs to no team.
    InvalidToken,
    /// The team has no permission to use the model.
    ModelNotAllowed,
    /// The configuration does not contain the model.
    UnknownModel,
    /// The configuration does not contain the application or the route.
    UnknownApplication,
    /// The requested time limit is outside the configured bounds.
    InvalidDeadline,
    /// The prompt and answer together exceed the limit of the model or the memory of all its
    /// engines.
    PromptTooLong,
    /// Calls on this route are not repeatable, and the request has no idempotency key.
    KeyRequired,
    /// The idempotency key was not issued by fulmarhead.
    KeyNotIssued,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// The idempotency key is older than the retention period of answers.
    KeyExpired,
    /// The issue time of the idempotency key is in the future.
    KeyFromFuture,
    /// The agent incarnation that owned the key has ended.
    KeyOwnerGone,
    /// The agent that owns the key is unreachable.
    KeyOwnerUnreachable,
    /// The request with this key is still running.
    KeyInProgress,
    /// The request with this key has run, but its answer is no longer stored.
    AnswerNotKept,
    /// The agent has no space to record another key.
    LedgerFull,
    /// The team has exhausted its budget.
    TeamLimit,
    /// No target in service can accept the request.
    NoTarget,
    /// The target has no capacity for the request at the moment.
    Overloaded,
    /// The target is warming up and accepts only part of its full load.
    ColdStart,
    /// The target or its zone is out of service.
    OutOfService,
    /// The process is shutting down.
    ShuttingDown,
    /// The process is about to end, and the request was still in progress.
    Interrupted,
    /// The engine memory for the request could not be reserved.
    NoMemory,
    /// The lease on engine memory has expired or is unknown.
    LeaseExpired,
    /// No target can meet the time limit of the request.
    DeadlineUnreachable,
    /// The time limit of the request has passed.
    DeadlineExceeded,
    /// The target failed while it handled the request.
    TargetFailed,
    /// The process has no active configuration yet.
    NoConfiguration,
    /// The agent does not serve the target that the request names.
    WrongTarget,
}

impl Reason {
    /// Returns the HTTP status code for the reason.
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
            Self::TargetFailed
            | Self::Interrupted
            | Self::KeyOwnerGone
            | Self::KeyOwnerUnreachable => 502,
            Self::DeadlineUnreachable | Self::DeadlineExceeded => 504,
            Self::LedgerFull
            | Self::NoBodyMemory
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

    /// Returns whether the request may be retried at another target after this refusal.
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::NoTarget
                | Self::Overloaded
                | Self::ColdStart
                | Self::OutOfService
                | Self::ShuttingDown
                | Self::Interrupted
                | Self::NoMemory
                | Self::LeaseExpired
                | Self::NoConfiguration
                | Self::WrongTarget
                | Self::TargetFailed
        )
    }
}

/// A refusal of a request, sent from agents to entries and from entries to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{reason} ({outcome})")]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request has run.
    pub outcome: Outcome,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that has not run and will not run.
    pub fn not_run(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None }
    }

    /// Returns the refusal for the status of a model engine's response, or `None` if it is a
    /// success. An engine that reports an error other than a refusal may have run the request.
    pub fn from_engine_status(status: u16) -> Option<Self> {
        match status {
            200..300 => None,
            503 => Some(Self::not_run(Reason::Overloaded)),
            507 => Some(Self::not_run(Reason::NoMemory)),
            // The engine does not serve the model, or no longer holds the stream.
            404 => Some(Self::not_run(Reason::OutOfService)),
            _ => Some(Self::failed(Reason::TargetFailed)),
        }
    }

    /// Returns a refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Returns a refusal of a request that ran and failed.
    pub fn failed(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::Failed, retry_after: None }
    }

    /// Returns the refusal for a call with an idempotency key if the ledger, in which the agent
    /// records earlier calls by key, was not consulted.
    ///
    /// Changes [`Outcome::NotRun`] to [`Outcome::Unknown`], since an earlier call with the same key
    /// may have run even if this one was not sent.
    pub fn without_ledger(self) -> Self {
        match self.outcome {
            Outcome::NotRun => Self { outcome: Outcome::Unknown, ..self },
            Outcome::Unknown | Outcome::Failed => self,
        }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(self, delay: Duration) -> Self {
        Self { retry_after: Some(delay), ..self }
    }
}
