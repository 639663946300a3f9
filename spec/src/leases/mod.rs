//! Model of leases: engine memory is always reclaimed, and holders never deadlock.

mod deadlock;
mod engine;
mod model;
mod state;

pub use self::{
    model::{Bounds, LeasesModel, Variant},
    state::{Attempt, EngineIndex, Event, HolderIndex, Invariant, LeaseKey, Message, State},
};
