//! The demo: requests of all kinds against a local fleet, and whether each came out right.

mod client;
mod steps;
mod table;

pub use self::{
    client::{CallError, Caller, Completed},
    steps::run,
    table::{Row, print},
};
