//! Stand-ins for what the platform gives: targets and services with their abilities and faults.
//!
//! The interfaces are those of `docs/design/platform-protocols.md`.

pub mod application;
mod broken;
pub mod cold;
pub mod config_service;
pub mod engine;
pub mod program;
mod rate;
pub mod vm_list;
pub mod weight_store;
