//! Leases: engine memory always comes back, and no two holders wait for each other for ever.

mod engine;
mod model;
mod state;
mod waiting;

pub use self::{
    model::{Bounds, LeasesModel, Variant},
    state::{Attempt, EngineNumber, Event, HolderNumber, Invariant, Key, Message, State},
};
