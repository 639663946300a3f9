//! Life cycle of a process: starting, serving, draining.

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

/// Shared flag that the readiness probe reports: whether the process accepts new work.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Returns whether the process accepts new work.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Sets whether the process accepts new work.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }
}

/// State of a process that doesn't accept work yet, because it has no configuration.
#[derive(Debug)]
pub struct Starting;

/// State of a process that accepts work.
#[derive(Debug)]
pub struct Serving;

/// State of a process that completes its remaining work and accepts no more.
#[derive(Debug)]
pub struct Draining;

/// A process in the life cycle state `S`, which determines the possible transitions.
#[derive(Debug)]
pub struct Process<S> {
    readiness: Readiness,
    state: PhantomData<S>,
}

impl Process<Starting> {
    /// Returns a starting process and marks it as not ready.
    pub fn new(readiness: Readiness) -> Self {
        readiness.set(false);
        Self { readiness, state: PhantomData }
    }

    /// Marks the process as ready for work.
    pub fn serve(self) -> Process<Serving> {
        self.readiness.set(true);
        Process { readiness: self.readiness, state: PhantomData }
    }

    /// Begins to drain without having accepted any work.
    pub fn drain(self) -> Process<Draining> {
        Process { readiness: self.readiness, state: PhantomData }
    }
}

impl Process<Serving> {
    /// Sets the readiness while the process is serving.
    pub fn set_ready(&self, ready: bool) {
        self.readiness.set(ready);
    }

    /// Marks the process as not ready and begins to drain.
    pub fn drain(self) -> Process<Draining> {
        self.readiness.set(false);
        Process { readiness: self.readiness, state: PhantomData }
    }
}

impl Process<Draining> {
    /// Cancels `shutdown`, on which the supervisor tree stops.
    pub fn stop(self, shutdown: &CancellationToken) {
        shutdown.cancel();
    }
}

/// Waits until a process has to stop, because `shutdown` says so or because its supervisor tree is
/// `failing`.
pub async fn wait_stop(shutdown: &CancellationToken, failing: &CancellationToken) {
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = failing.cancelled() => {}
    }
}

/// Runs a supervisor tree until it ends, then flushes the logs. SIGTERM and SIGINT cancel
/// `shutdown`.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed or the supervisor tree fails.
pub async fn run_until_terminated(
    supervisor_tree: impl Future<Output = TaskResult>,
    shutdown: &CancellationToken,
) -> TaskResult {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::pin!(supervisor_tree);
    let ended = tokio::select! {
        result = supervisor_tree.as_mut() => Some(result),
        _ = terminate.recv() => {
            info!("received SIGTERM; shutting down");
            None
        }
        _ = interrupt.recv() => {
            info!("received SIGINT; shutting down");
            None
        }
    };
    shutdown.cancel();
    let result = match ended {
        Some(result) => result,
        None => supervisor_tree.await,
    };
    info!("process stopped");
    logger().flush();
    result
}
