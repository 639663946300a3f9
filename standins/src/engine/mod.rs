//! A model engine.

mod admit;
mod batch;
mod cache;
mod core;

mod error;
mod events;
mod figures;
mod http;
mod memory;
mod models;
mod readers;
mod settings;
mod shared;
mod stream;
mod text;
mod weights;

pub use self::{
    cache::BLOCK,
    error::EngineError,
    events::{CacheEvent, CacheEvents, EventKind},
    settings::EngineSettings,
    shared::Engine,
    text::{prompt_state, token},
    weights::draw_weights,
};
