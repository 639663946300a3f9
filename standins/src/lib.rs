//! Stand-ins for the targets and services of the platform, with simulated performance and injected
//! faults.
//!
//! The interfaces are those of `docs/design/platform-protocols.md`.

mod aborted;
pub mod application;
pub mod cold;
pub mod config_service;
pub mod engine;
pub mod program;
mod rate;
pub mod vm_list;
pub mod weight_store;
