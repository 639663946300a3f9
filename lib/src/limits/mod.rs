//! Rate limits and budgets that each entry enforces for its own share, without shared counters.

mod prefill;
mod retry;
mod shared_retry;
mod start;
mod team;

pub use self::{
    prefill::{PrefillLimiter, usable_rate},
    retry::{RetryBudget, RetrySettings},
    shared_retry::{SharedRetryBudget, SharedRetrySettings},
    start::{StartBound, StartWindow},
    team::{TeamBudget, TeamLimiter},
};
