//! Choice of a target for each request, from what this entry and its peers have in flight.

mod choice;
mod cost;
mod health;
mod load;
mod member;
mod pool;
mod shared;
mod target;

pub use self::{
    choice::{Choice, Helper, Shortage, Waive},
    cost::Need,
    health::{AttemptResult, Health},
    load::{LoadChanges, Stage, TargetLoad, Work, WorkId},
    member::{Member, MemberState},
    pool::{Pool, PoolView},
};
