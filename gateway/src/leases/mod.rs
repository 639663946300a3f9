//! Memory of targets that is set aside for prompts that are too large for one of them.
//!
//! A lease lasts a few seconds and ends by itself, so that nothing stays behind when this process
//! dies. All leases of a request are taken before it is sent, or none.

mod held;
mod task;

pub(crate) use self::{
    held::{HeldLeases, hold},
    task::{LeaseQueue, Lessor, keep_leases},
};
