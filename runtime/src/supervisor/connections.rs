//! A bounded set of connection tasks, which are not restarted.

use log::debug;
use std::{sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Delay before the next accept after one failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A set of connection tasks with a limit on how many run at the same time.
#[derive(Clone, Debug)]
pub struct Connections {
    tracker: TaskTracker,
    permits: Arc<Semaphore>,
    stop_tasks: CancellationToken,
}

/// Permit to run one connection task.
#[derive(Debug)]
pub struct ConnectionPermit(OwnedSemaphorePermit);

impl Connections {
    /// Returns an empty set that runs at most `limit` tasks at the same time.
    pub fn new(limit: usize) -> Self {
        Self {
            tracker: TaskTracker::new(),
            permits: Arc::new(Semaphore::new(limit)),
            stop_tasks: CancellationToken::new(),
        }
    }

    /// Returns whether as many connection tasks run as the limit allows.
    pub fn is_full(&self) -> bool {
        self.permits.available_permits() == 0
    }

    /// Waits for a free permit and accepts the next connection; a failed accept is retried after a
    /// delay. Returns `None` once `stop` is cancelled.
    pub async fn accept(
        &self,
        listener: &TcpListener,
        stop: &CancellationToken,
    ) -> Option<(ConnectionPermit, TcpStream)> {
        let accepted = async {
            let permit = Arc::clone(&self.permits).acquire_owned().await;
            let permit = ConnectionPermit(permit.expect("the semaphore is never closed"));
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => return (permit, stream),
                    Err(error) => {
                        debug!(error:%; "accepting a connection failed; retrying after a delay");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => None,
            accepted = accepted => Some(accepted),
        }
    }

    /// Spawns the task of a connection. The task receives a token that [`Self::finish`] cancels.
    pub fn spawn<F, Fut>(&self, permit: ConnectionPermit, task: F)
    where
        F: FnOnce(CancellationToken) -> Fut,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let task = task(self.stop_tasks.clone());
        self.tracker.spawn(async move {
            task.await;
            drop(permit.0);
        });
    }

    /// Spawns a task that starts when a permit is free. [`Self::finish`] waits for its completion.
    pub fn spawn_queued(&self, task: impl Future<Output = ()> + Send + 'static) {
        let permits = Arc::clone(&self.permits);
        self.tracker.spawn(async move {
            let permit = permits.acquire_owned().await;
            task.await;
            drop(permit);
        });
    }

    /// Returns the number of spawned tasks that have not ended, including queued ones.
    pub fn len(&self) -> usize {
        self.tracker.len()
    }

    /// Returns whether no task is running or queued.
    pub fn is_empty(&self) -> bool {
        self.tracker.is_empty()
    }

    /// Cancels the token of all connection tasks and waits until all tasks have ended.
    pub async fn finish(&self) {
        self.stop_tasks.cancel();
        self.tracker.close();
        self.tracker.wait().await;
    }
}
