//! Demo that sends requests of all kinds to a local fleet and checks each result.

mod client;
mod steps;
mod table;

pub use self::{
    client::{CallError, Caller, Completed},
    steps::run,
    table::{Row, print},
};
