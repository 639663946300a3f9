//! Admission control at an agent: whether its target accepts a piece of work now.

mod cap;
mod controller;
mod phase;
mod queue;
mod turn;

pub use self::{
    cap::CapSettings,
    controller::{AdmissionController, AdmissionSettings, Phase, TargetCapacity, Work},
    phase::{AgentStatus, TARGET_CHECK_TTL},
    queue::{PrefillQueue, QueueSettings, short_prompt_reserve},
};
