//! Leases of target memory for prompts that are too large for one target.
//!
//! A lease lasts a few seconds and then expires, so that no memory stays reserved when this process
//! dies. Either all leases of a request are acquired before it is sent, or none.

mod held;
mod task;

pub(crate) use self::{
    held::{HeldLeases, acquire_leases},
    task::{LeaseReceiver, LeaseSender, maintain_leases},
};
