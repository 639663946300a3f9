//! A model engine.

mod http;
mod state;
mod text;

pub use self::{
    state::{Engine, EngineSettings},
    text::{prompt_state, token},
};
