//! Control connections: one task for each agent and each peer entry.

mod agent;
mod entry;
mod releases;
mod roster;

pub(crate) use self::{releases::release_leases, roster::keep_peers};
