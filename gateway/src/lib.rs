//! An entry that calls targets directly: targets name themselves in a list, say themselves
//! whether they ran a request, and take requests from anyone.
//!
//! The entry that took a request from its caller is the only one that forwards it, so it keeps
//! by itself what agents keep on the project's own interface: that a request runs at most once and
//! that a refusal is true.

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
