//! Supervisors of permanent children.

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

/// Why a task ended early.
#[derive(Debug, thiserror::Error)]
pub enum TaskError {
    /// Reading, writing, binding or accepting failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The task panicked.
    #[error("task panicked")]
    Panicked,
    /// The children of a supervisor restarted too often.
    #[error("children of {supervisor} restarted over {restarts} times in {period:?}")]
    RestartLimit {
        /// Name of the supervisor.
        supervisor: String,
        /// Allowed restarts.
        restarts: usize,
        /// Time in which they are counted.
        period: Duration,
    },
}

/// What a task returns at its end.
pub type TaskResult = Result<(), TaskError>;

type Start = Box<dyn Fn(CancellationToken) -> BoxFuture<'static, TaskResult> + Send + Sync>;

/// How often the children of a supervisor may restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartLimit {
    /// Allowed restarts.
    pub restarts: usize,
    /// Time in which they are counted.
    pub period: Duration,
}

impl Default for RestartLimit {
    fn default() -> Self {
        Self { restarts: 5, period: Duration::from_secs(10) }
    }
}

struct Child {
    name: String,
    start: Start,
    stop: CancellationToken,
}

/// A supervisor and its children, in their order of start.
pub struct Supervisor {
    name: String,
    clock: SharedClock,
    limit: RestartLimit,
    stop_bound: Duration,
    children: Vec<Child>,
}

impl Supervisor {
    /// Returns a supervisor without children, with the default restart limit and 30 s for each
    /// child to stop.
    pub fn new(name: impl Into<String>, clock: SharedClock) -> Self {
        Self {
            name: name.into(),
            clock,
            limit: RestartLimit::default(),
            stop_bound: Duration::from_secs(30),
            children: Vec::new(),
        }
    }

    /// Sets how often the children may restart.
    pub fn restart_limit(mut self, limit: RestartLimit) -> Self {
        self.limit = limit;
        self
    }

    /// Sets how long each child may take to stop before it is aborted.
    pub fn stop_bound(mut self, bound: Duration) -> Self {
        self.stop_bound = bound;
        self
    }

    /// Adds a child that is started again when it ends before shutdown.
    ///
    /// `start` gets the token that is cancelled when the child has to stop.
    pub fn permanent<F, Fut>(mut self, name: impl Into<String>, start: F) -> Self
    where
        F: Fn(CancellationToken) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = TaskResult> + Send + 'static,
    {
        let start: Start = Box::new(move |stop| start(stop).boxed());
        let stop = CancellationToken::new();
        self.children.push(Child { name: name.into(), start, stop });
        self
    }

    /// Runs the children until `shutdown` is cancelled, then stops them in reverse order.
    ///
    /// Returns an error if the children restarted too often; all of them are stopped then.
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
            self.log_end(index, &result);
            if let Err(error) = self.count_restart(&mut restarts) {
                self.stop(tasks).await;
                return Err(error);
            }
            self.spawn(&mut tasks, index);
        }
        self.stop(tasks).await;
        Ok(())
    }

    fn spawn(&self, tasks: &mut JoinSet<(usize, TaskResult)>, index: usize) {
        let child = &self.children[index];
        let task = AssertUnwindSafe((child.start)(child.stop.clone())).catch_unwind();
        tasks.spawn(async move { (index, task.await.unwrap_or(Err(TaskError::Panicked))) });
    }

    fn log_end(&self, index: usize, result: &TaskResult) {
        let (supervisor, child) = (&self.name, &self.children[index].name);
        match result {
            Ok(()) => warn!(supervisor, child; "child ended; restarting it"),
            Err(error) => error!(supervisor, child, error:%; "child failed; restarting it"),
        }
    }

    fn count_restart(&self, restarts: &mut VecDeque<Instant>) -> TaskResult {
        let now = self.clock.now();
        restarts.push_back(now);
        let period = self.limit.period;
        while restarts.front().is_some_and(|&at| now.saturating_duration_since(at) > period) {
            restarts.pop_front();
        }
        if restarts.len() <= self.limit.restarts {
            return Ok(());
        }
        Err(TaskError::RestartLimit {
            supervisor: self.name.clone(),
            restarts: self.limit.restarts,
            period,
        })
    }

    async fn stop(&self, mut tasks: JoinSet<(usize, TaskResult)>) {
        let mut running: Vec<bool> = vec![true; self.children.len()];
        for index in (0..self.children.len()).rev() {
            self.children[index].stop.cancel();
            let ended = timeout(self.stop_bound, wait_for(&mut tasks, index, &mut running)).await;
            if ended.is_err() {
                let (supervisor, child) = (&self.name, &self.children[index].name);
                warn!(supervisor, child; "child did not stop in time");
            }
        }
        tasks.shutdown().await;
        info!(supervisor = self.name; "stopped");
    }
}

async fn wait_for(tasks: &mut JoinSet<(usize, TaskResult)>, index: usize, running: &mut [bool]) {
    while running[index] {
        match tasks.join_next().await {
            Some(Ok((ended, _))) => running[ended] = false,
            Some(Err(_)) => {}
            None => return,
        }
    }
}
