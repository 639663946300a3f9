//! Classification of a target's response by its status and headers.

use crate::placement::{Notice, ObservedLoad, RateNotice};
use std::net::SocketAddr;
use strum::{Display, IntoStaticStr};

/// Whether a response carries the identifier of the request that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestMatch {
    /// It carries the identifier of the request.
    Same,
    /// It carries none.
    Absent,
    /// It carries another one, so that it belongs to another request.
    Other,
}

/// Decoded status and headers of a target's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Whether the response belongs to the request that was sent.
    pub request_match: RequestMatch,
    /// Whether the response carries the target's signature.
    pub signed: bool,
    /// Whether the response is marked as "request not executed".
    pub not_run: bool,
    /// Address of the target that is the reason for a refusal, if the response names one. It may be
    /// a helper of the target that responded.
    pub refused_by: Option<SocketAddr>,
    /// Whether the body has a content encoding, which targets never apply.
    pub encoded: bool,
    /// Whether the body is a stream of server-sent events.
    pub event_stream: bool,
    /// Whether the end of the body can be told from the end of the connection.
    pub delimited: bool,
    /// What the response says about further requests to its target.
    pub notice: Notice,
    /// What the response says about the request rate that its target accepts.
    pub rate_notice: RateNotice,
    /// Load that the target reports about itself.
    pub observed_load: Option<ObservedLoad>,
}

/// Meaning of a response for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The response is the target's answer to the request, whether success or error.
    Answer,
    /// The target is at capacity and did not run the request.
    Full,
    /// The address belongs to another target; the request did not run.
    #[strum(serialize = "elsewhere")]
    WrongTarget,
    /// The target did not run the request for another reason.
    NotRun,
    /// The response can't be taken for the target's answer, and the request counts as one that may
    /// have run. This includes a 400 that is marked as "not executed".
    #[strum(serialize = "spoiled")]
    Invalid,
}

const BAD_REQUEST: u16 = 400;
const MISDIRECTED: u16 = 421;
const UNAVAILABLE: u16 = 503;

impl ResponseHead {
    /// Returns the meaning of the response for the request.
    pub fn verdict(&self) -> Verdict {
        // A refusal of another request does not say that this one did not run.
        if self.request_match == RequestMatch::Other {
            return Verdict::Invalid;
        }
        if self.status == MISDIRECTED {
            return Verdict::WrongTarget;
        }
        if self.not_run {
            return match self.status {
                UNAVAILABLE => Verdict::Full,
                BAD_REQUEST => Verdict::Invalid,
                _ => Verdict::NotRun,
            };
        }
        let is_unidentified = self.request_match == RequestMatch::Absent;
        if is_unidentified || self.encoded || (self.is_success() && !self.signed) {
            return Verdict::Invalid;
        }
        Verdict::Answer
    }

    /// Returns whether the status code is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the status code is 500 or higher.
    pub fn is_server_error(&self) -> bool {
        self.status >= 500
    }
}
