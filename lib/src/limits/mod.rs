//! Limits without shared counters: budgets of teams and of retries.

mod reserve;
mod retry;
mod start;
mod team;
mod window;

pub use self::{
    reserve::{ZoneReserve, usable_rate},
    retry::{RetryBudget, RetrySettings},
    team::{TeamBudget, TeamLimiter},
    start::StartWindow,
    window::{RetryWindow, SharedRetrySettings},
};
