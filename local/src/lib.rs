//! A whole fleet in one process: entries, agents and stand-ins as supervised tasks.

pub mod demo;
mod fleet;
mod plan;

pub use self::{
    fleet::{Fleet, FleetError, FleetHandle, start},
    plan::{Plan, TOKEN},
};
