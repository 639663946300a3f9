//! Specification of the core protocol: small models that run the production decision code.
//!
//! Each model is a successor function over states that contain the production ledgers. The search
//! visits every reachable state within the bounds of the model. Pauses and message loss need no
//! events of their own: events may interleave in any order, so the next event of a paused process
//! is delayed, and a lost message is never delivered.

pub mod clock;
pub mod config;
pub mod keys;
pub mod leases;
pub mod search;
