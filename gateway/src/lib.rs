//! The gateway, an entry that sends requests directly to targets. An entry is a process that
//! accepts the requests of callers. Targets register themselves in a list, report whether they ran
//! a request, and accept requests from any sender.
//!
//! Only the entry that received a request from its caller forwards it. No agent runs in front of
//! the targets here, so the entry itself ensures that a request runs at most once, and that a
//! request that was refused as not run has not run.

mod dump;
mod gateway;
mod leases;
mod limits;
mod loads;
mod options;
mod peers;
mod quarantine;
mod reload;
mod serve;
mod shortage;
mod store;
mod tree;

pub use self::{
    gateway::Gateway,
    options::{Options, command},
    tree::{Listeners, run},
};
