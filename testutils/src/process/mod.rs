//! Test fleets that run the programs of the workspace as processes on loopback addresses.
//!
//! `cargo test --workspace` builds the programs. A test run of a single package uses the programs
//! that are in the target directory, even if they are outdated.

mod addresses;
mod caller;
mod child;
mod connection;
mod crowd;
mod document;
mod fleet;
mod links;
mod observe;
mod plan;
mod program;
mod start;
mod usage;
mod wait;

pub use self::{
    addresses::AddressAllocator,
    caller::{Caller, CallerError, Event, EventStream, FullResponse},
    child::{Process, ProcessError, Signal},
    connection::{RawConnection, Received},
    crowd::{Crowd, CrowdPlan, Framing},
    document::{APPLICATION, MODEL, TOKEN},
    fleet::{Fleet, FleetError},
    links::{Link, Side},
    observe::{Effect, ObservedTarget},
    plan::Plan,
    program::Program,
    usage::{Usage, wait_all_read},
    wait::{ConditionTimeout, eventually, read_json},
};

use std::future::Future;
use tokio::runtime::Builder;

/// Worker threads of a test; kept low to leave CPU time to the processes that it starts.
const WORKER_THREADS: usize = 2;

/// Runs the body of a test on a new multi-threaded runtime.
pub fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build();
    runtime.expect("failed to create the runtime of a test").block_on(test)
}
