//! Rate limits and budgets that each entry enforces for its own share, without shared counters, and
//! the memory for the bodies that a process holds.

mod body_memory;
mod prefill;
mod request_rate;
mod retry;
mod shared_retry;
mod start;
mod team;

pub use self::{
    body_memory::{
        BodyKind, BodyMemory, Growth, PROGRESS_BYTES, SMALL_BODY_BYTES, STALL_TIME,
        connection_limit,
    },
    prefill::{PrefillLimiter, usable_rate},
    request_rate::{RateBucket, RateShare, RequestRate, RequestRateError},
    retry::{RetryBudget, RetrySettings},
    shared_retry::{SharedRetryBudget, SharedRetrySettings},
    start::{StartBound, StartWindow},
    team::{TeamBudget, TeamLimiter},
};
