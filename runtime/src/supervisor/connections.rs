//! Temporary children: one task for each connection.

use log::debug;
use std::{sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Pause after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The tasks of accepted connections, which are never restarted.
#[derive(Clone, Debug)]
pub struct Connections {
    tracker: TaskTracker,
    slots: Arc<Semaphore>,
    stop: CancellationToken,
}

/// Room for one connection.
#[derive(Debug)]
pub struct Slot(OwnedSemaphorePermit);

impl Connections {
    /// Returns an empty set that holds at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            tracker: TaskTracker::new(),
            slots: Arc::new(Semaphore::new(limit)),
            stop: CancellationToken::new(),
        }
    }

    /// Accepts the next connection once there is room for it; returns nothing after `stop`.
    pub async fn accept(
        &self,
        listener: &TcpListener,
        stop: &CancellationToken,
    ) -> Option<(Slot, TcpStream)> {
        let accepted = async {
            let permit = Arc::clone(&self.slots).acquire_owned().await;
            let slot = Slot(permit.expect("the semaphore is never closed"));
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => return (slot, stream),
                    Err(error) => {
                        debug!(error:%; "accept failed");
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => None,
            accepted = accepted => Some(accepted),
        }
    }

    /// Runs the task of a connection; it gets the token that asks it to finish.
    pub fn spawn<F, Fut>(&self, slot: Slot, task: F)
    where
        F: FnOnce(CancellationToken) -> Fut,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let task = task(self.stop.clone());
        self.tracker.spawn(async move {
            task.await;
            drop(slot.0);
        });
    }

    /// Runs a task as soon as there is room for it; it is not asked to finish early.
    pub fn spawn_queued(&self, task: impl Future<Output = ()> + Send + 'static) {
        let slots = Arc::clone(&self.slots);
        self.tracker.spawn(async move {
            let permit = slots.acquire_owned().await;
            task.await;
            drop(permit);
        });
    }

    /// Returns how many connections are open.
    pub fn len(&self) -> usize {
        self.tracker.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.tracker.is_empty()
    }

    /// Asks all connections to finish and waits for them.
    pub async fn finish(&self) {
        self.stop.cancel();
        self.tracker.close();
        self.tracker.wait().await;
    }
}
