//! Supervisors, which restart their permanent children.

use fulmarhead_lib::clock::SharedClock;
use futures::{
    FutureExt,
    future::{BoxFuture, Future},
};
use log::{error, info, warn};
use std::{
    collections::VecDeque,
    io,
    panic::AssertUnwindSafe,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::timeout};
use tokio_util::sync::CancellationToken;

/// Reasons why a supervised task failed.
#[derive(Debug, thiserror::Error)]
pub enum TaskError {
    /// An I/O operation of the task failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The task panicked.
    #[error("task panicked")]
    Panicked,
    /// The children of a supervisor exceeded its restart limit.
    #[error("children of {supervisor} ended more than {max_restarts} times within {window:?}")]
    RestartLimit {
        /// Name of the supervisor.
        supervisor: String,
        /// Allowed number of restarts within the window.
        max_restarts: usize,
        /// Length of the sliding window in which restarts are counted.
        window: Duration,
    },
}

/// Result of a supervised task. A permanent child is restarted after either outcome.
pub type TaskResult = Result<(), TaskError>;

type StartFn = Box<dyn Fn(CancellationToken) -> BoxFuture<'static, TaskResult> + Send + Sync>;

/// Limit on the restarts of all children of a supervisor together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartLimit {
    /// Allowed number of restarts within the window.
    pub max_restarts: usize,
    /// Length of the sliding window in which restarts are counted.
    pub window: Duration,
}

impl Default for RestartLimit {
    fn default() -> Self {
        Self { max_restarts: 5, window: Duration::from_secs(10) }
    }
}

struct Child {
    name: String,
    start: StartFn,
    stop: CancellationToken,
}

/// A supervisor with its children in start order.
pub struct Supervisor {
    name: String,
    clock: SharedClock,
    limit: RestartLimit,
    stop_timeout: Duration,
    failing: CancellationToken,
    children: Vec<Child>,
}

impl Supervisor {
    /// Returns a supervisor without children, with the default restart limit and a stop timeout of
    /// 30 s.
    pub fn new(name: impl Into<String>, clock: SharedClock) -> Self {
        Self {
            name: name.into(),
            clock,
            limit: RestartLimit::default(),
            stop_timeout: Duration::from_secs(30),
            failing: CancellationToken::new(),
            children: Vec::new(),
        }
    }

    /// Sets the limit on restarts; exceeding it ends the supervisor with an error.
    pub fn restart_limit(mut self, limit: RestartLimit) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the time that a child may take to stop before the supervisor stops the next one.
    ///
    /// Children that are still running after the last one was stopped are aborted.
    pub fn stop_timeout(mut self, timeout: Duration) -> Self {
        self.stop_timeout = timeout;
        self
    }

    /// Returns a token that is cancelled before the children are stopped because they exceeded the
    /// restart limit.
    pub fn failing(&self) -> CancellationToken {
        self.failing.clone()
    }

    /// Adds a child that is restarted whenever it ends before shutdown.
    ///
    /// `start` receives a token that is cancelled when the child has to stop.
    pub fn permanent<F, Fut>(mut self, name: impl Into<String>, start: F) -> Self
    where
        F: Fn(CancellationToken) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = TaskResult> + Send + 'static,
    {
        let start: StartFn = Box::new(move |stop| start(stop).boxed());
        let stop = CancellationToken::new();
        self.children.push(Child { name: name.into(), start, stop });
        self
    }

    /// Runs the children until `shutdown` is cancelled, then stops them in reverse order.
    ///
    /// Returns an error if the children exceed the restart limit, after stopping all of them.
    pub async fn run(self, shutdown: CancellationToken) -> TaskResult {
        let mut tasks = JoinSet::new();
        for index in 0..self.children.len() {
            self.spawn(&mut tasks, index);
        }
        let mut restarts = VecDeque::new();
        loop {
            let ended = tokio::select! {
                () = shutdown.cancelled() => break,
                ended = tasks.join_next() => ended,
            };
            let Some(Ok((index, result))) = ended else { continue };
            self.log_exit(index, &result);
            if let Err(error) = self.count_restart(&mut restarts) {
                error!(supervisor = self.name, error:%; "too many children have ended; stopping all of them");
                self.failing.cancel();
                self.stop(tasks, Some(index)).await;
                return Err(error);
            }
            self.spawn(&mut tasks, index);
        }
        self.stop(tasks, None).await;
        Ok(())
    }

    fn spawn(&self, tasks: &mut JoinSet<(usize, TaskResult)>, index: usize) {
        let child = &self.children[index];
        let task = AssertUnwindSafe((child.start)(child.stop.clone())).catch_unwind();
        tasks.spawn(async move { (index, task.await.unwrap_or(Err(TaskError::Panicked))) });
    }

    fn log_exit(&self, index: usize, result: &TaskResult) {
        let (supervisor, child) = (&self.name, &self.children[index].name);
        match result {
            Ok(()) => warn!(supervisor, child; "child ended; restarting it"),
            Err(error) => error!(supervisor, child, error:%; "child failed; restarting it"),
        }
    }

    fn count_restart(&self, restarts: &mut VecDeque<Instant>) -> TaskResult {
        let now = self.clock.now();
        restarts.push_back(now);
        let window = self.limit.window;
        while restarts.front().is_some_and(|&at| now.saturating_duration_since(at) > window) {
            restarts.pop_front();
        }
        if restarts.len() <= self.limit.max_restarts {
            return Ok(());
        }
        Err(TaskError::RestartLimit {
            supervisor: self.name.clone(),
            max_restarts: self.limit.max_restarts,
            window,
        })
    }

    /// Stops the children in reverse order. `ended` is one that has ended and was not restarted.
    async fn stop(&self, mut tasks: JoinSet<(usize, TaskResult)>, ended: Option<usize>) {
        let mut running: Vec<bool> =
            (0..self.children.len()).map(|index| Some(index) != ended).collect();
        for index in (0..self.children.len()).rev() {
            self.children[index].stop.cancel();
            let ended =
                timeout(self.stop_timeout, wait_for_child(&mut tasks, index, &mut running)).await;
            if ended.is_err() {
                let (supervisor, child) = (&self.name, &self.children[index].name);
                warn!(supervisor, child; "child did not stop in time; it will be aborted");
            }
        }
        tasks.shutdown().await;
        info!(supervisor = self.name; "supervisor stopped");
    }
}

async fn wait_for_child(
    tasks: &mut JoinSet<(usize, TaskResult)>,
    index: usize,
    running: &mut [bool],
) {
    while running[index] {
        match tasks.join_next().await {
            Some(Ok((ended, _))) => running[ended] = false,
            Some(Err(_)) => {}
            None => return,
        }
    }
}
