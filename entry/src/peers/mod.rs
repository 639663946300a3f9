//! Control connections to agents and to other entries, with one task for each.

mod agent;
mod entry;
mod releases;
mod tasks;

pub(crate) use self::{releases::release_leases, tasks::run_peer_tasks};
