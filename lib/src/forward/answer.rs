//! What the head of a target's answer says.

use strum::{Display, IntoStaticStr};

/// The head of an answer, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Status code.
    pub status: u16,
    /// Whether the answer names the request that was sent.
    pub own: bool,
    /// Whether the target has signed the answer.
    pub signed: bool,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
    /// Whether the body is encoded, which targets never do.
    pub encoded: bool,
    /// Whether the body is a stream of events.
    pub events: bool,
}

/// What an answer means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// It is the target's answer, success or failure.
    Answer,
    /// The target has no room and did not run the request.
    Full,
    /// Another target has the address; the request did not run.
    Elsewhere,
    /// The target did not run the request for another reason.
    NotRun,
    /// It can't be the target's answer to this request, which may have run.
    Spoiled,
}

/// Statuses of the HTTP specification that the verdicts rest on.
const BAD_REQUEST: u16 = 400;
const MISDIRECTED: u16 = 421;
const UNAVAILABLE: u16 = 503;

impl AnswerHead {
    /// Returns what the answer means.
    pub fn verdict(&self) -> Verdict {
        if self.status == MISDIRECTED {
            return Verdict::Elsewhere;
        }
        if self.not_run {
            return match self.status {
                UNAVAILABLE => Verdict::Full,
                BAD_REQUEST => Verdict::Spoiled,
                _ => Verdict::NotRun,
            };
        }
        if !self.own || self.encoded || (self.is_success() && !self.signed) {
            return Verdict::Spoiled;
        }
        Verdict::Answer
    }

    /// Returns whether the status is one of success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the status is a failure of the target.
    pub fn is_server_error(&self) -> bool {
        self.status >= 500
    }
}
