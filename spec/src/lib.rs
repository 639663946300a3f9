//! Specification of the protocols for idempotency keys, leases and configuration: small models that
//! run the production code of `fulmarhead_lib`.
//!
//! Each model is a successor function over states that contain production types: the key and lease
//! ledgers, or the active configuration of each process. The search visits every reachable state
//! within the bounds of the model, unless it finds a violation first. Most pauses and lost messages
//! need no events of their own: events may interleave in any order, so the next event of a paused
//! process is delayed, and a lost message is never delivered. An event is needed only for a pause
//! or loss that a process detects, or that makes a clock reading or message outdated.

pub mod clock;
pub mod config;
pub mod keys;
pub mod leases;
pub mod search;
