//! Configuration: revisions only rise, and a target out of service starts nothing new.

mod documents;
mod model;
mod process;

pub use self::{
    documents::Document,
    model::{Bounds, ConfigModel, Event, Invariant, State, Variant},
    process::{Agent, View},
};
