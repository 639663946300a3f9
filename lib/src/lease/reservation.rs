//! All-or-nothing reservation of memory on several engines for one request.

use super::{ledger::Grant, plan::Share};
use crate::ids::{LeaseId, RequestId, TargetId};
use std::marker::PhantomData;
use uuid::Uuid;

/// Type state of a [`Reservation`]: leases are being acquired one after another.
#[derive(Debug)]
pub struct Acquiring;

/// Type state of a [`Reservation`]: all leases are held.
#[derive(Debug)]
pub struct Held;

/// Leases of one request on several engines.
#[derive(Debug)]
pub struct Reservation<S> {
    request: RequestId,
    pending: Vec<(Share, LeaseId)>,
    leases: Vec<(TargetId, Grant)>,
    state: PhantomData<S>,
}

/// Next step of a reservation whose leases are being acquired.
#[derive(Debug)]
pub enum Step {
    /// Request this lease from the engine.
    Request {
        /// Reservation to continue with.
        reservation: Reservation<Acquiring>,
        /// Engine and size of the lease.
        share: Share,
        /// Identifier of the lease, which stays the same on each retry.
        lease: LeaseId,
    },
    /// All leases are held.
    Done(Reservation<Held>),
}

impl Reservation<Acquiring> {
    /// Starts a reservation of `shares` with newly generated lease identifiers.
    pub fn new(request: RequestId, shares: Vec<Share>) -> Self {
        let pending = shares.into_iter().map(|share| (share, Uuid::new_v4())).collect();
        Self::with_leases(request, pending)
    }

    /// Starts a reservation of shares with the given lease identifiers.
    ///
    /// The leases are requested in ascending order of target, regardless of the order of `pending`.
    pub fn with_leases(request: RequestId, mut pending: Vec<(Share, LeaseId)>) -> Self {
        // Sorted in descending order, because the next lease is taken from the end.
        pending.sort_by(|(a, _), (b, _)| b.target.cmp(&a.target));
        Self { request, pending, leases: Vec::new(), state: PhantomData }
    }

    /// Returns the next lease to request, or the complete reservation if no lease is pending.
    pub fn step(self) -> Step {
        match self.pending.last().cloned() {
            Some((share, lease)) => Step::Request { reservation: self, share, lease },
            None => Step::Done(Reservation {
                request: self.request,
                pending: Vec::new(),
                leases: self.leases,
                state: PhantomData,
            }),
        }
    }

    /// Records the grant of the lease that was requested last.
    ///
    /// The grant of any other lease, such as a late reply to an earlier request, is ignored.
    pub fn record_grant(mut self, grant: Grant) -> Self {
        let requested = |(_, lease): &mut (Share, LeaseId)| *lease == grant.lease;
        if let Some((share, _)) = self.pending.pop_if(requested) {
            self.leases.push((share.target, grant));
        }
        self
    }

    /// Abandons the reservation and returns all leases to release.
    ///
    /// They include the lease that was requested last, because it may be granted concurrently.
    pub fn abandon(self) -> Vec<(TargetId, LeaseId)> {
        let requested = self.pending.last().map(|(share, lease)| (share.target.clone(), *lease));
        let held = self.leases.into_iter().map(|(target, grant)| (target, grant.lease));
        held.chain(requested).collect()
    }
}

impl Reservation<Held> {
    /// Returns the identifier of the request that holds the leases.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the leases in ascending order of target.
    pub fn leases(&self) -> &[(TargetId, Grant)] {
        &self.leases
    }

    /// Ends the reservation and returns the leases to release.
    pub fn release(self) -> Vec<(TargetId, LeaseId)> {
        self.leases.into_iter().map(|(target, grant)| (target, grant.lease)).collect()
    }
}
