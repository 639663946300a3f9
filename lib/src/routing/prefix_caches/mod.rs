//! Estimate of the prefill that the prefix caches of targets save a prompt.
//!
//! The estimate is the length of each known prefix times the probability that its target still
//! holds it. The probability combines the age of the prefix, the KV cache that was asked of the
//! target since, the room at the target, and what earlier answers said about cached tokens.

mod caches;
mod hit;
mod holders;
mod retention;

pub use self::{caches::PrefixCaches, hit::Hit};
