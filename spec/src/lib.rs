//! Specification of the core protocol: small models that step the real decision code.
//!
//! Each model is a successor function over states that hold the ledgers themselves. The search
//! visits every state within the bounds of the model. A process that pauses is one whose next
//! event comes late, and a message that is lost is one that never arrives, since any event may
//! come before any other.

pub mod clock;
pub mod config;
pub mod keys;
pub mod leases;
pub mod search;
