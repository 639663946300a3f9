//! Model of configuration: revisions never decrease, and a target out of service starts no new
//! work.

mod documents;
mod model;
mod process;

pub use self::{
    documents::Document,
    model::{Bounds, ConfigModel, Event, Invariant, State, Variant},
    process::{Agent, ProcessConfig},
};
