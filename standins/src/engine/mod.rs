//! A model engine.

mod http;
mod messages;
mod state;
mod text;

pub use self::{
    messages::{Completion, EngineLoad, LoadedModel, Order, OrderRequest, Segment, SegmentState},
    state::{Engine, EngineSettings},
    text::{prompt_state, token},
};
