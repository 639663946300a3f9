//! Tasks that watch the target and clean up behind its work.

mod cleanup;
mod leases;
mod monitor;

pub(crate) use self::{cleanup::run_cleanups, leases::expire_leases, monitor::monitor};
