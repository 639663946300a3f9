//! Behaviour of the model engine, on tokio's paused time.

mod batching;
mod calls;
mod cold;
mod conservation;
mod memory;
mod orders;
mod streams;
