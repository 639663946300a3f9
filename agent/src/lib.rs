//! The agent: the process beside a target, the only way to it, and the owner of its promises.

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
