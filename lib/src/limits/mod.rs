//! Limits without shared counters: budgets of teams and of retries.

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
