//! An entry that sends requests directly to targets. Targets register themselves in a list, report
//! whether they ran a request, and accept requests from any sender.
//!
//! Only the entry that received a request from its caller forwards it. It therefore ensures itself
//! what agents ensure on the project's own interface: a request runs at most once, and a request
//! that was refused as not run has not run.

mod dump;
mod gateway;
mod leases;
mod options;
mod peers;
mod reload;
mod serve;
mod store;
mod tree;

pub use self::{
    gateway::Gateway,
    options::{Options, command},
    tree::{Listeners, run},
};
