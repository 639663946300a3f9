//! Tests of the model engine stand-in, mostly on tokio's paused clock.

mod batching;
mod calls;
mod cold;
mod conservation;
mod memory;
mod orders;
mod streams;
