//! Decision logic of fulmarhead: admission, routing, leases, releases, and configuration.
//!
//! The modules perform no I/O and don't depend on HTTP, tarpc, or tokio. They take messages and
//! times and return messages, so that the programs, the model checker, and the tests run the same
//! code.

pub mod admission;
pub mod clock;
pub mod config;
pub mod control;
pub mod cost;
pub mod digest;
pub mod forward;
pub mod ids;
pub mod keys;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod outcome;
pub mod placement;
pub mod quarantine;
pub mod release;
pub mod replica;
pub mod request;
pub mod routes;
pub mod routing;
pub mod shortage;
