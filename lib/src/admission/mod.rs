//! Admission at an agent: whether its target takes a piece of work now.

mod cap;
mod controller;
mod phase;

pub use self::{
    cap::CapSettings,
    controller::{Admission, AdmissionSettings, Phase, Work},
    phase::{STALE_AFTER, Standing},
};
