//! Model of idempotency keys: a call takes effect at most once, and a caller receives "not run"
//! only if the call never takes effect.

mod agent;
mod model;
mod state;

pub use self::{
    model::{Bounds, KeysModel, Variant},
    state::{AgentAction, AgentIndex, Event, Incarnation, Invariant, KeyIndex, State},
};
