//! Renews and releases leases.

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
    time::sleep_until,
};
use tokio_util::sync::CancellationToken;

/// Leases to keep or release that wait for the task.
const QUEUE: usize = 1_024;

/// A lease is renewed after this part of its time, so that two renewals may get lost.
const RENEW_PART: f64 = 0.3;

/// Time between two releases of a lease whose order was not answered: memory that a late order
/// sets aside again stays so for less than the two seconds that matter.
const REPEAT_TIME: Duration = Duration::from_secs(1);

/// Releases of such a lease; targets carry orders out up to 12 s late.
const REPEATS: u32 = 13;

/// Memory of a target that is set aside for a request.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(super) id: LeaseId,
    pub(super) share: Share,
    pub(super) address: SocketAddr,
    /// Whether each order about the lease was answered.
    pub(super) certain: bool,
}

/// What is to be done with a lease.
#[derive(Debug)]
pub(super) enum Message {
    /// Renew it until it is released.
    Keep(Lease),
    /// Release it.
    Release(Lease),
}

/// Passes leases to the task.
#[derive(Clone, Debug)]
pub(crate) struct Lessor(mpsc::Sender<Message>);

/// The queue of the task.
#[derive(Clone, Debug)]
pub(crate) struct LeaseQueue(Arc<Mutex<mpsc::Receiver<Message>>>);

impl Lessor {
    /// Returns both ends of the queue.
    pub(crate) fn new() -> (Self, LeaseQueue) {
        let (sender, receiver) = mpsc::channel(QUEUE);
        (Self(sender), LeaseQueue(Arc::new(Mutex::new(receiver))))
    }

    /// Passes a message on; what a full queue drops ends by itself at the target.
    pub(super) fn send(&self, message: Message) {
        if let Err(error) = self.0.try_send(message) {
            warn!(error:%; "no room to keep or release a lease; it ends by itself");
        }
    }
}

/// What is done next about a lease.
#[derive(Clone, Copy, Debug)]
enum Plan {
    Renew,
    Release { left: u32 },
}

#[derive(Debug)]
struct Entry {
    lease: Lease,
    plan: Plan,
    at: Instant,
}

/// Renews and releases leases until `stop` is cancelled.
pub(crate) async fn keep_leases(
    gateway: Arc<Gateway>,
    queue: LeaseQueue,
    stop: CancellationToken,
) -> TaskResult {
    let mut queue = queue.0.lock().await;
    let mut entries: BTreeMap<LeaseId, Entry> = BTreeMap::new();
    let mut orders = JoinSet::new();
    loop {
        let next = entries.values().map(|entry| entry.at).min();
        let due = async {
            match next {
                Some(at) => sleep_until(at.into()).await,
                None => pending().await,
            }
        };
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            Some(message) = queue.recv() => take(&gateway, &mut entries, message),
            Some(Ok((id, certain))) = orders.join_next() => {
                answered(&mut entries, id, certain);
            }
            () = due => {
                for entry in entries.values_mut() {
                    if entry.at <= gateway.clock.now() {
                        orders.spawn(order(Arc::clone(&gateway), entry.lease.clone(), entry.plan));
                        entry.advance(&gateway);
                    }
                }
                entries.retain(|_, entry| !matches!(entry.plan, Plan::Release { left: 0 }));
            }
        }
    }
}

fn take(gateway: &Gateway, entries: &mut BTreeMap<LeaseId, Entry>, message: Message) {
    let now = gateway.clock.now();
    let entry = match message {
        Message::Keep(lease) => {
            let at = now + gateway.settings.lease_duration.mul_f64(RENEW_PART);
            Entry { lease, plan: Plan::Renew, at }
        }
        Message::Release(mut lease) => {
            let known = entries.get(&lease.id);
            lease.certain &= known.is_none_or(|known| known.lease.certain);
            let left = if lease.certain { 1 } else { REPEATS };
            Entry { lease, plan: Plan::Release { left }, at: now }
        }
    };
    entries.insert(entry.lease.id, entry);
}

/// Records whether an order about a lease was answered.
fn answered(entries: &mut BTreeMap<LeaseId, Entry>, id: LeaseId, certain: bool) {
    if let Some(entry) = entries.get_mut(&id) {
        entry.lease.certain &= certain;
    }
}

impl Entry {
    /// Plans what comes after an order.
    fn advance(&mut self, gateway: &Gateway) {
        let now = gateway.clock.now();
        match &mut self.plan {
            Plan::Renew => self.at = now + gateway.settings.lease_duration.mul_f64(RENEW_PART),
            Plan::Release { left } => {
                *left -= 1;
                self.at = now + REPEAT_TIME;
            }
        }
    }
}

/// Sends an order; returns whether it was answered.
async fn order(gateway: Arc<Gateway>, lease: Lease, plan: Plan) -> (LeaseId, bool) {
    let Lease { id, share, address, .. } = lease;
    let result = match plan {
        Plan::Renew => {
            gateway.orders.reserve(address, &share, id, gateway.settings.lease_duration).await
        }
        Plan::Release { .. } => gateway.orders.release(address, &share.target, id).await,
    };
    if let Err(error) = &result {
        info!(
            target: "decision", lease:% = id, backend = share.target, error:%;
            "order about set aside memory failed"
        );
    }
    (id, !matches!(result, Err(OrderError::UnknownOutcome(_))))
}
