//! Task that finds out whether a target that lost requests has crashed.

use crate::gateway::Gateway;
use fulmarhead_lib::quarantine::{CrashId, RequestLoss};
use fulmarhead_runtime::supervisor::TaskResult;
use log::{info, warn};
use std::{
    collections::BTreeMap,
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    net::TcpStream,
    sync::{Mutex, mpsc},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Capacity of the queue of reports, several times the requests that one target serves.
const QUEUE_CAPACITY: usize = 256;

/// Delay before the check, since a process that ends may close its connections before its listener.
const CHECK_DELAY: Duration = Duration::from_millis(20);

/// Timeout for the connection of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// A request whose connection to its target was lost.
#[derive(Debug)]
pub(super) struct LossReport {
    pub(super) loss: RequestLoss,
    pub(super) address: SocketAddr,
    pub(super) at: Instant,
}

/// Sending end of the queue of reports.
#[derive(Clone, Debug)]
pub(crate) struct LossSender(mpsc::Sender<LossReport>);

/// Receiving end of the queue of reports.
#[derive(Clone, Debug)]
pub(crate) struct LossReceiver(Arc<Mutex<mpsc::Receiver<LossReport>>>);

impl LossSender {
    /// Creates the queue and returns both of its ends.
    pub(crate) fn new() -> (Self, LossReceiver) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (Self(sender), LossReceiver(Arc::new(Mutex::new(receiver))))
    }

    /// Queues a report. If the queue is full, the report is dropped; the next crash has others.
    pub(super) fn send(&self, report: LossReport) {
        if let Err(error) = self.0.try_send(report) {
            warn!(error:%; "can't queue the report of a lost request");
        }
    }
}

/// Checks the targets of lost requests, and records the requests whose targets have crashed, until
/// `stop` is cancelled.
pub(crate) async fn confirm_crashes(
    gateway: Arc<Gateway>,
    queue: LossReceiver,
    stop: CancellationToken,
) -> TaskResult {
    let mut queue = queue.0.lock().await;
    let mut checks = JoinSet::new();
    let mut pending: BTreeMap<CrashId, Vec<(RequestLoss, Instant)>> = BTreeMap::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            Some(LossReport { loss, address, at }) = queue.recv() => {
                let crash = loss.crash.clone();
                let losses = pending.entry(crash.clone()).or_default();
                if losses.is_empty() {
                    checks.spawn(async move { (crash, has_crashed(address).await) });
                }
                losses.push((loss, at));
            }
            Some(Ok((crash, crashed))) = checks.join_next() => {
                let losses = pending.remove(&crash).unwrap_or_default();
                if crashed {
                    record_crash(&gateway, &crash, losses);
                } else {
                    gateway.record_survival(&crash);
                }
            }
        }
    }
}

fn record_crash(gateway: &Gateway, crash: &CrashId, losses: Vec<(RequestLoss, Instant)>) {
    metrics::counter!("fulmarhead_target_crashes_total").increment(1);
    info!(
        target: "decision", backend = &*crash.target, requests = losses.len();
        "target crashed with requests that it had not begun to answer"
    );
    gateway.record_losses(losses);
}

/// Returns whether the process at `address` has ended, so that its VM refuses connections. A target
/// that can't be reached may as well be partitioned from this entry.
async fn has_crashed(address: SocketAddr) -> bool {
    sleep(CHECK_DELAY).await;
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
