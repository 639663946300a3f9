//! Limits without shared counters: budgets of teams and of retries.

mod reserve;
mod retry;
mod team;

pub use self::{
    reserve::{ZoneReserve, usable_rate},
    retry::{RetryBudget, RetrySettings},
    team::{TeamBudget, TeamLimiter},
};
