//! Decisions of fulmarhead: what is admitted, where it goes, what may run and what is in force.
//!
//! The modules take messages and a clock and return messages. They know no HTTP, tarpc or tokio,
//! so that the programs, the model check and the tests run the same code.

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
pub mod outcome;
pub mod placement;
pub mod release;
pub mod replica;
pub mod request;
pub mod routes;
pub mod routing;
