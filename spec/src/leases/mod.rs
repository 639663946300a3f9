//! Model of leases: engine memory is always reclaimed, and holders never deadlock.
//!
//! A holder is an entry with one request that needs a lease on every engine.

mod deadlock;
mod engine;
mod model;
mod state;

pub use self::{
    model::{Bounds, LeasesModel, Variant},
    state::{Attempt, EngineIndex, Event, HolderIndex, Invariant, LeaseKey, Message, State},
};
