//! Programs of the workspace as real processes on loopback addresses.
//!
//! `cargo test --workspace` builds the programs; a test of one package alone uses those that are
//! in the target folder, however old.

mod addresses;
mod caller;
mod child;
mod document;
mod fleet;
mod links;
mod observe;
mod plan;
mod program;
mod start;
mod wait;

pub use self::{
    addresses::Addresses,
    caller::{Answer, Caller, CallerError, Event, EventStream},
    child::{Process, ProcessError, Signal},
    document::{APPLICATION, MODEL, TOKEN},
    fleet::{Fleet, FleetError},
    links::{Link, Side},
    observe::{Effect, Seen},
    plan::Plan,
    program::Program,
    wait::{Expired, eventually, read_json},
};

use std::future::Future;
use tokio::runtime::Builder;

/// Threads of a test; the processes that it starts need the others.
const THREADS: usize = 2;

/// Runs the body of a test.
pub fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_multi_thread().worker_threads(THREADS).enable_all().build();
    runtime.expect("the system has threads for a test").block_on(test)
}
