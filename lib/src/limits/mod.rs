//! Limits without shared counters: budgets of teams and of retries.

mod retry;
mod team;

pub use self::{
    retry::{RetryBudget, RetrySettings},
    team::{TeamBudget, TeamLimiter},
};
