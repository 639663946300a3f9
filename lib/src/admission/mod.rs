//! Admission at an agent: whether its target takes a piece of work now.

mod cap;
mod controller;
mod phase;
mod queue;
mod turn;

pub use self::{
    cap::CapSettings,
    controller::{Admission, AdmissionSettings, Phase, Room, Work},
    phase::{STALE_AFTER, Standing},
    queue::{Queue, QueueSettings, short_memory},
};
