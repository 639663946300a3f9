//! Choice of a target for each request, from what this entry and its peers have in flight.

mod cost;
mod health;
mod load;
mod member;
mod pool;

pub use self::{
    cost::Need,
    health::{AttemptResult, Health},
    load::{Stage, TargetLoad, Work, WorkId},
    member::{Member, MemberState},
    pool::{Choice, Helper, Pool, PoolView, Shortage, Waive},
};
