//! Acquires the leases of one request and releases them when the request ends.

use super::task::{Lease, LeaseCommand};
use crate::gateway::Gateway;
use fulmarhead_lib::{
    lease::{Grant, Reservation, Share, Step},
    placement::Helper,
};
use fulmarhead_platform::OrderError;
use log::info;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use uuid::Uuid;

/// The leases of one request, which are released when this is dropped.
pub(crate) struct HeldLeases {
    gateway: Arc<Gateway>,
    leases: Vec<Lease>,
}

impl HeldLeases {
    /// Returns the identifier of the lease at `target`, if there is one.
    pub(crate) fn lease_id(&self, target: &str) -> Option<String> {
        let lease = self.leases.iter().find(|lease| lease.share.target == target)?;
        Some(lease.id.to_string())
    }
}

impl Drop for HeldLeases {
    fn drop(&mut self) {
        for lease in self.leases.drain(..) {
            self.gateway.lease_sender.send(LeaseCommand::Release(lease));
        }
    }
}

/// Acquires the leases that `helpers` need, one after another in ascending order of target.
///
/// # Errors
///
/// Returns the first failed order. The leases acquired so far are released, and so is the failed
/// one if its outcome is unknown.
pub(crate) async fn acquire_leases(
    gateway: &Arc<Gateway>,
    request: &str,
    helpers: &[Helper],
) -> Result<HeldLeases, OrderError> {
    let holders = helpers.iter().filter(|helper| helper.held_tokens > 0);
    let addresses: BTreeMap<&str, SocketAddr> =
        holders.clone().map(|helper| (&*helper.target, helper.address)).collect();
    let shares =
        holders.map(|helper| Share { target: helper.target.clone(), tokens: helper.held_tokens });
    // The reservation needs a UUID, which a caller's request ID need not be. The gateway does not
    // use this one.
    let mut reservation = Reservation::new(Uuid::new_v4(), shares.collect());
    let mut held = HeldLeases { gateway: Arc::clone(gateway), leases: Vec::new() };
    loop {
        let (acquiring, share, id) = match reservation.step() {
            Step::Request { reservation, share, lease } => (reservation, share, lease),
            Step::Done(_) => {
                for lease in &held.leases {
                    gateway.lease_sender.send(LeaseCommand::Renew(lease.clone()));
                }
                return Ok(held);
            }
        };
        let address = addresses.get(&*share.target).ok_or(OrderError::WrongTarget)?;
        let lease = Lease { id, share, address: *address, outcome_known: true };
        let (target, tokens) = (lease.share.target.clone(), lease.share.tokens);
        let period = gateway.settings.lease_duration;
        match gateway.orders.reserve(lease.address, &lease.share, id, period).await {
            Ok(()) => {
                info!(
                    target: "decision", request, lease:% = id, backend = target, tokens;
                    "memory set aside"
                );
                held.leases.push(lease);
                reservation = acquiring.record_grant(Grant { lease: id, tokens, period });
            }
            Err(error) => {
                info!(
                    target: "decision", request, lease:% = id, backend = target, tokens, error:%;
                    "memory not set aside"
                );
                if matches!(error, OrderError::UnknownOutcome(_)) {
                    held.leases.push(Lease { outcome_known: false, ..lease });
                }
                return Err(error);
            }
        }
    }
}
