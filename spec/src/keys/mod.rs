//! Keys: a call that must not be repeated takes effect at most once, and "not run" is true.

mod agent;
mod model;
mod state;

pub use self::{
    model::{Bounds, KeysModel, Variant},
    state::{Act, Event, Invariant, Key, Life, Slot, State},
};
