//! Limits on the requests of all entries together that targets in need name in their responses.
//!
//! A limit belongs to one run of a target, and ends when the target responds without it. Entries
//! exchange the limits that they know. A few of the entries may send to a limited target, each with
//! an equal share of its rate; all entries select the same ones.

mod division;
mod limit;
mod news;
mod pool;
mod registry;

use crate::{ids::TargetId, limits::RequestRate};
use std::time::SystemTime;
use strum::IntoStaticStr;

pub(super) use self::registry::RequestLimits;
pub use self::{
    news::{LimitNews, LimitVersion},
    pool::LimitSummary,
};

/// One run of a target: its identifier and start time.
type Run = (TargetId, Option<SystemTime>);

/// What a response says about the request rate that its target accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateNotice {
    /// Nothing.
    #[default]
    Absent,
    /// The target has no limit.
    Unlimited,
    /// The target accepts this rate from all entries together.
    Limited(RequestRate),
}

/// Change of the limit of a target, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LimitChange {
    /// The target has named its first limit, or one after a time without.
    Named(RequestRate),
    /// The target has changed its limit.
    Changed(RequestRate),
    /// The target no longer names a limit.
    Ended,
}

impl LimitChange {
    /// Returns the change from the limit `before` to `after`, if they differ.
    fn between(before: Option<RequestRate>, after: Option<RequestRate>) -> Option<Self> {
        match (before, after) {
            _ if before == after => None,
            (None, Some(rate)) => Some(Self::Named(rate)),
            (Some(_), Some(rate)) => Some(Self::Changed(rate)),
            (_, None) => Some(Self::Ended),
        }
    }
}
