//! The life cycle of a process: starting, serving, draining.

use crate::supervisor::TaskResult;
use log::{info, logger};
use std::{
    marker::PhantomData,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Whether a process takes new work, as its readiness probe shows it.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Returns whether the process takes new work.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Sets whether the process takes new work.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }
}

/// Life cycle of a process: it has no configuration yet.
#[derive(Debug)]
pub struct Starting;

/// Life cycle of a process: it takes work.
#[derive(Debug)]
pub struct Serving;

/// Life cycle of a process: it finishes its work.
#[derive(Debug)]
pub struct Draining;

/// A process in one state of its life cycle.
#[derive(Debug)]
pub struct Process<S> {
    readiness: Readiness,
    state: PhantomData<S>,
}

impl Process<Starting> {
    /// Returns a process that starts.
    pub fn new(readiness: Readiness) -> Self {
        readiness.set(false);
        Self { readiness, state: PhantomData }
    }

    /// Begins to take work.
    pub fn serve(self) -> Process<Serving> {
        self.readiness.set(true);
        Process { readiness: self.readiness, state: PhantomData }
    }

    /// Begins to end before the process took any work.
    pub fn drain(self) -> Process<Draining> {
        Process { readiness: self.readiness, state: PhantomData }
    }
}

impl Process<Serving> {
    /// Shows whether the process can take work at the moment.
    pub fn set_able(&self, able: bool) {
        self.readiness.set(able);
    }

    /// Stops to take work.
    pub fn drain(self) -> Process<Draining> {
        self.readiness.set(false);
        Process { readiness: self.readiness, state: PhantomData }
    }
}

impl Process<Draining> {
    /// Asks the supervisor tree behind `shutdown` to stop.
    pub fn stop(self, shutdown: &CancellationToken) {
        shutdown.cancel();
    }
}

/// Runs a supervisor tree until it ends; SIGTERM and SIGINT cancel `shutdown`.
pub async fn run_until_terminated(
    tree: impl Future<Output = TaskResult>,
    shutdown: &CancellationToken,
) -> TaskResult {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::pin!(tree);
    let ended = tokio::select! {
        result = tree.as_mut() => Some(result),
        _ = terminate.recv() => {
            info!("received SIGTERM");
            None
        }
        _ = interrupt.recv() => {
            info!("received SIGINT");
            None
        }
    };
    shutdown.cancel();
    let result = match ended {
        Some(result) => result,
        None => tree.await,
    };
    info!("stopped");
    logger().flush();
    result
}
