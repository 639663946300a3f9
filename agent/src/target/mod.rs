//! Tasks that monitor the target and free engine resources that are no longer needed.

mod cleanup;
mod leases;
mod monitor;

pub(crate) use self::{cleanup::run_cleanups, leases::free_unused_resources, monitor::monitor};
