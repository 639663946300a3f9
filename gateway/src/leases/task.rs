//! Task that renews and releases leases.

use crate::gateway::Gateway;
use fulmarhead_lib::{ids::LeaseId, lease::Share};
use fulmarhead_platform::OrderError;
use fulmarhead_runtime::supervisor::TaskResult;
use log::{info, warn};
use std::{
    collections::BTreeMap,
    future::pending,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    sync::{Mutex, mpsc},
    task::JoinSet,
    time::{sleep_until, timeout},
};
use tokio_util::sync::CancellationToken;

/// Capacity of the queue of commands for the task.
const QUEUE_CAPACITY: usize = 1_024;

/// Share of the lease duration after which a lease is renewed, so that two renewals in a row may be
/// lost.
const RENEWAL_SHARE: f64 = 0.3;

/// Interval between the release orders for a lease with an order whose outcome is unknown. If the
/// target executes a reserve order after a release, the next release frees the memory within the
/// allowed two seconds.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Number of release orders for a lease with an order whose outcome is unknown, one per
/// `RELEASE_RETRY_INTERVAL`; targets execute orders up to 12 s late.
const UNKNOWN_OUTCOME_RELEASE_ORDERS: u32 = 13;

/// Time for the orders in flight and the releases when the process stops, a part of what is left of
/// the grace period after the abort of connections.
const STOP_RELEASE_TIME: Duration = Duration::from_millis(200);

/// A lease of memory at a target for one request.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(super) id: LeaseId,
    pub(super) share: Share,
    pub(super) address: SocketAddr,
    /// Whether the outcome of every order for the lease is known.
    pub(super) outcome_known: bool,
}

/// Command for the lease task.
#[derive(Debug)]
pub(super) enum LeaseCommand {
    /// Renew the lease until it is released.
    Renew(Lease),
    /// Release the lease.
    Release(Lease),
}

/// Sending end of the queue of the lease task.
#[derive(Clone, Debug)]
pub(crate) struct LeaseSender(mpsc::Sender<LeaseCommand>);

/// Receiving end of the queue of the lease task.
#[derive(Clone, Debug)]
pub(crate) struct LeaseReceiver(Arc<Mutex<mpsc::Receiver<LeaseCommand>>>);

impl LeaseSender {
    /// Creates the queue and returns both of its ends.
    pub(crate) fn new() -> (Self, LeaseReceiver) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (Self(sender), LeaseReceiver(Arc::new(Mutex::new(receiver))))
    }

    /// Queues a command. If the queue is full, the command is dropped and the lease expires at the
    /// target.
    pub(super) fn send(&self, command: LeaseCommand) {
        if let Err(error) = self.0.try_send(command) {
            warn!(error:%; "can't queue a lease command; the lease expires at its target");
        }
    }
}

/// The next order for a lease.
#[derive(Clone, Copy, Debug)]
enum LeaseOrder {
    Renew,
    Release { remaining: u32 },
}

#[derive(Debug)]
struct TrackedLease {
    lease: Lease,
    next_order: LeaseOrder,
    due_at: Instant,
}

/// Renews and releases leases until `stop` is cancelled, then releases all.
pub(crate) async fn maintain_leases(
    gateway: Arc<Gateway>,
    queue: LeaseReceiver,
    stop: CancellationToken,
) -> TaskResult {
    let mut queue = queue.0.lock().await;
    let mut leases: BTreeMap<LeaseId, TrackedLease> = BTreeMap::new();
    let mut orders = JoinSet::new();
    loop {
        let next_due = leases.values().map(|tracked| tracked.due_at).min();
        let due = async {
            match next_due {
                Some(at) => sleep_until(at.into()).await,
                None => pending().await,
            }
        };
        tokio::select! {
            () = stop.cancelled() => break,
            Some(command) = queue.recv() => handle_command(&gateway, &mut leases, command),
            Some(Ok((id, outcome_known))) = orders.join_next() => {
                record_outcome(&mut leases, id, outcome_known);
            }
            () = due => {
                for tracked in leases.values_mut() {
                    if tracked.due_at <= gateway.clock.now() {
                        orders.spawn(send_order(
                            Arc::clone(&gateway),
                            tracked.lease.clone(),
                            tracked.next_order,
                        ));
                        tracked.advance(&gateway);
                    }
                }
                leases.retain(|_, tracked| {
                    !matches!(tracked.next_order, LeaseOrder::Release { remaining: 0 })
                });
            }
        }
    }
    while let Ok(command) = queue.try_recv() {
        handle_command(&gateway, &mut leases, command);
    }
    // Those that are not released in time expire at their targets.
    let _ = timeout(STOP_RELEASE_TIME, release_all(&gateway, leases, orders)).await;
    Ok(())
}

/// Releases all leases, since the requests that use them have ended with the stop.
async fn release_all(
    gateway: &Arc<Gateway>,
    leases: BTreeMap<LeaseId, TrackedLease>,
    mut orders: JoinSet<(LeaseId, bool)>,
) {
    // A renewal that arrives after the release would set the memory aside again.
    while orders.join_next().await.is_some() {}
    for tracked in leases.into_values() {
        let release = LeaseOrder::Release { remaining: 1 };
        orders.spawn(send_order(Arc::clone(gateway), tracked.lease, release));
    }
    while orders.join_next().await.is_some() {}
}

fn handle_command(
    gateway: &Gateway,
    leases: &mut BTreeMap<LeaseId, TrackedLease>,
    command: LeaseCommand,
) {
    let now = gateway.clock.now();
    let tracked = match command {
        LeaseCommand::Renew(lease) => {
            let due_at = now + gateway.settings.lease_duration.mul_f64(RENEWAL_SHARE);
            TrackedLease { lease, next_order: LeaseOrder::Renew, due_at }
        }
        LeaseCommand::Release(mut lease) => {
            let previous = leases.get(&lease.id);
            lease.outcome_known &= previous.is_none_or(|previous| previous.lease.outcome_known);
            let remaining = if lease.outcome_known { 1 } else { UNKNOWN_OUTCOME_RELEASE_ORDERS };
            TrackedLease { lease, next_order: LeaseOrder::Release { remaining }, due_at: now }
        }
    };
    leases.insert(tracked.lease.id, tracked);
}

/// Records whether the outcome of an order for a lease is known.
fn record_outcome(leases: &mut BTreeMap<LeaseId, TrackedLease>, id: LeaseId, outcome_known: bool) {
    if let Some(tracked) = leases.get_mut(&id) {
        tracked.lease.outcome_known &= outcome_known;
    }
}

impl TrackedLease {
    /// Schedules the order that follows the current one.
    fn advance(&mut self, gateway: &Gateway) {
        let now = gateway.clock.now();
        match &mut self.next_order {
            LeaseOrder::Renew => {
                self.due_at = now + gateway.settings.lease_duration.mul_f64(RENEWAL_SHARE)
            }
            LeaseOrder::Release { remaining } => {
                *remaining -= 1;
                self.due_at = now + RELEASE_RETRY_INTERVAL;
            }
        }
    }
}

/// Sends an order and returns whether its outcome is known.
async fn send_order(
    gateway: Arc<Gateway>,
    lease: Lease,
    next_order: LeaseOrder,
) -> (LeaseId, bool) {
    let Lease { id, share, address, .. } = lease;
    let result = match next_order {
        LeaseOrder::Renew => {
            gateway.orders.reserve(address, &share, id, gateway.settings.lease_duration).await
        }
        LeaseOrder::Release { .. } => gateway.orders.release(address, &share.target, id).await,
    };
    if let Err(error) = &result {
        info!(
            target: "decision", lease:% = id, backend = share.target, error:%;
            "order about set aside memory failed"
        );
    }
    (id, !matches!(result, Err(OrderError::UnknownOutcome(_))))
}
