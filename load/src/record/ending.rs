//! How a request ended.

use fulmarhead_lib::outcome::{Outcome, Reason};
use serde::{Deserialize, Serialize};
use strum::Display;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came.
    Complete,
    /// The fleet refused the request or ended its stream with a problem document.
    Refused(Refused),
    /// The stream ended before the answer did.
    Broken,
    /// Something that no caller should meet.
    Error(ErrorKind),
}

/// The members of a problem document that matter here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Refused {
    /// Why the request was refused.
    pub reason: Reason,
    /// What is known of the request.
    pub outcome: Outcome,
}

/// Errors of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ErrorKind {
    /// No connection to the entry.
    Connect,
    /// The connection failed before the answer began.
    Connection,
    /// The answer is not of the published form.
    Malformed,
    /// A token came twice or out of order, or the answer's length is wrong.
    Order,
    /// Neither an answer nor a refusal came within the time limit and a margin.
    Late,
}
