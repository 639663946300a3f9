//! The leases of one request.

use super::task::{Lease, Message};
use crate::gateway::Gateway;
use fulmarhead_lib::{
    lease::{Grant, Reservation, Share, Step},
    placement::Helper,
};
use fulmarhead_platform::OrderError;
use log::info;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use uuid::Uuid;

/// The leases of one request, released when they are dropped.
pub(crate) struct HeldLeases {
    gateway: Arc<Gateway>,
    leases: Vec<Lease>,
}

impl HeldLeases {
    /// Returns the identifier of the lease at a target, if there is one.
    pub(crate) fn at(&self, target: &str) -> Option<String> {
        let lease = self.leases.iter().find(|lease| lease.share.target == target)?;
        Some(lease.id.to_string())
    }
}

impl Drop for HeldLeases {
    fn drop(&mut self) {
        for lease in self.leases.drain(..) {
            self.gateway.lessor.send(Message::Release(lease));
        }
    }
}

/// Takes the leases that `helpers` need, one after another in ascending order of target; releases
/// what it has if one can't be taken.
pub(crate) async fn hold(
    gateway: &Arc<Gateway>,
    request: &str,
    helpers: &[Helper],
) -> Result<HeldLeases, OrderError> {
    let holders = helpers.iter().filter(|helper| helper.held_tokens > 0);
    let addresses: BTreeMap<&str, SocketAddr> =
        holders.clone().map(|helper| (&*helper.target, helper.address)).collect();
    let shares =
        holders.map(|helper| Share { target: helper.target.clone(), tokens: helper.held_tokens });
    let mut reservation = Reservation::new(Uuid::new_v4(), shares.collect());
    let mut held = HeldLeases { gateway: Arc::clone(gateway), leases: Vec::new() };
    loop {
        let (asking, share, id) = match reservation.step() {
            Step::Request { reservation, share, lease } => (reservation, share, lease),
            Step::Done(_) => {
                for lease in &held.leases {
                    gateway.lessor.send(Message::Keep(lease.clone()));
                }
                return Ok(held);
            }
        };
        let address = addresses.get(&*share.target).ok_or(OrderError::WrongTarget)?;
        let lease = Lease { id, share, address: *address, certain: true };
        let (target, tokens) = (lease.share.target.clone(), lease.share.tokens);
        let period = gateway.settings.lease_duration;
        match gateway.orders.reserve(lease.address, &lease.share, id, period).await {
            Ok(()) => {
                info!(
                    target: "decision", request, lease:% = id, backend = target, tokens;
                    "memory set aside"
                );
                held.leases.push(lease);
                reservation = asking.record_grant(Grant { lease: id, tokens, period });
            }
            Err(error) => {
                info!(
                    target: "decision", request, lease:% = id, backend = target, tokens, error:%;
                    "memory not set aside"
                );
                if matches!(error, OrderError::UnknownOutcome(_)) {
                    held.leases.push(Lease { certain: false, ..lease });
                }
                return Err(error);
            }
        }
    }
}
