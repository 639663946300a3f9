//! Rate limits and budgets that each entry enforces for its own share, without shared counters.

mod reserve;
mod retry;
mod start;
mod team;
mod window;

pub use self::{
    reserve::{ZoneReserve, usable_rate},
    retry::{RetryBudget, RetrySettings},
    start::{StartBound, StartWindow},
    team::{TeamBudget, TeamLimiter},
    window::{RetryWindow, SharedRetrySettings},
};
