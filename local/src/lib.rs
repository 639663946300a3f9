//! A whole fleet in one process: entries, agents and stand-ins as supervised tasks.

mod fleet;
mod plan;

pub use self::{
    fleet::{Fleet, FleetError, start},
    plan::{Plan, TOKEN},
};
