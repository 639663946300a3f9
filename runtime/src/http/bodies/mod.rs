//! Bodies of callers within the memory that the process has for them.

mod budget;
mod buffer;
mod claim;
mod event;

pub use self::{
    budget::{BodyBudget, BodyLimits, BodyReadError},
    buffer::{BodyBuffer, HeldBody, HeldMemory},
    event::EventMemory,
};
