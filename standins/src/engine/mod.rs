//! Stand-in for a model engine: simulates batching, memory, prefix cache, orders and restarts.

mod admission;
mod batch;
mod cache;
mod error;
mod events;
mod http;
mod load_history;
mod memory;
mod models;
mod readers;
mod settings;
mod shared;
mod state;
mod stream;
mod text;
mod weights;

pub use self::{
    cache::BLOCK_TOKENS,
    error::EngineError,
    events::{CacheEvent, CacheEvents, EventKind},
    settings::EngineSettings,
    shared::Engine,
    text::{prompt_state, token},
    weights::download_weights,
};
