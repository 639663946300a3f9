//! The reservation of several engines for one request, all or nothing.

use super::{ledger::Grant, plan::Share};
use crate::ids::{LeaseId, RequestId, TargetId};
use std::marker::PhantomData;
use uuid::Uuid;

/// Life cycle of a reservation: leases are taken one after another.
#[derive(Debug)]
pub struct Collecting;

/// Life cycle of a reservation: all leases are held.
#[derive(Debug)]
pub struct Held;

/// Leases of one request on several engines.
#[derive(Debug)]
pub struct Reservation<S> {
    request: RequestId,
    missing: Vec<(Share, LeaseId)>,
    leases: Vec<(TargetId, Grant)>,
    state: PhantomData<S>,
}

/// What a collecting reservation needs next.
#[derive(Debug)]
pub enum Step {
    /// Ask this engine for a lease.
    Ask {
        /// The reservation to go on with.
        reservation: Reservation<Collecting>,
        /// Engine and size of the lease.
        share: Share,
        /// Identifier under which the lease is asked for, the same for each repetition.
        lease: LeaseId,
    },
    /// All leases are held.
    Done(Reservation<Held>),
}

impl Reservation<Collecting> {
    /// Starts a reservation of `shares` under new identifiers of leases.
    pub fn new(request: RequestId, shares: Vec<Share>) -> Self {
        let missing = shares.into_iter().map(|share| (share, Uuid::new_v4())).collect();
        Self::with_leases(request, missing)
    }

    /// Starts a reservation of shares under the given identifiers of leases.
    ///
    /// The leases are asked for in ascending order of target, whatever the order of `missing`.
    pub fn with_leases(request: RequestId, mut missing: Vec<(Share, LeaseId)>) -> Self {
        missing.sort_by(|(a, _), (b, _)| b.target.cmp(&a.target));
        Self { request, missing, leases: Vec::new(), state: PhantomData }
    }

    /// Returns the next lease to ask for, or the held reservation.
    pub fn step(self) -> Step {
        match self.missing.last().cloned() {
            Some((share, lease)) => Step::Ask { reservation: self, share, lease },
            None => Step::Done(Reservation {
                request: self.request,
                missing: Vec::new(),
                leases: self.leases,
                state: PhantomData,
            }),
        }
    }

    /// Records the lease that was asked for.
    ///
    /// A grant of another lease, such as a late answer to an earlier question, changes nothing.
    pub fn granted(mut self, grant: Grant) -> Self {
        let asked = |(_, lease): &mut (Share, LeaseId)| *lease == grant.lease;
        if let Some((share, _)) = self.missing.pop_if(asked) {
            self.leases.push((share.target, grant));
        }
        self
    }

    /// Gives up and returns all leases to release, with the one that was asked for last: its
    /// grant may be on the way.
    pub fn abandon(self) -> Vec<(TargetId, LeaseId)> {
        let asked = self.missing.last().map(|(share, lease)| (share.target.clone(), *lease));
        let held = self.leases.into_iter().map(|(target, grant)| (target, grant.lease));
        held.chain(asked).collect()
    }
}

impl Reservation<Held> {
    /// Returns the request that holds the leases.
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
