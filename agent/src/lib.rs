//! The agent: the process beside a target that admits all its work.
//!
//! Entries reach the target only through its agent, which holds the leases of engine memory and the
//! ledger of idempotency keys.

mod agent;
mod control;
mod dump;
mod rollout;
mod seeds;
mod settings;
mod target;
mod tree;
mod work;

pub use self::{
    agent::Agent,
    settings::{Settings, command},
    tree::{Listeners, run},
};
