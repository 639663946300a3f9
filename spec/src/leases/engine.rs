//! An engine with its agent in the lease model; the agent runs the production ledger.

use super::state::{HolderIndex, LeaseKey};
use crate::clock::Step;
use fulmarhead_lib::{
    ids::{RequestId, Tokens},
    lease::{Allocation, LeaseLedger, LeaseSettings},
};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Memory of each engine.
pub(super) const ENGINE_CAPACITY: Tokens = 100;

/// Memory that each holder needs on each engine: more than half of it, so that leases of two
/// holders never fit on one engine.
pub(super) const LEASE_SIZE: Tokens = 60;

/// Returns the settings of the ledgers, in which a lease lasts two steps.
pub(super) fn lease_settings(step: Duration) -> LeaseSettings {
    LeaseSettings { period: step * 2, retry_after: step, wait_timeout: step * 2 }
}

/// Returns the identifier of a holder's request. Identifiers are in order of arrival, so the
/// lower one was received first.
pub(super) fn request_id(holder: HolderIndex) -> RequestId {
    RequestId::from_u128(holder as u128)
}

/// An engine and the lease state of its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Engine {
    pub(super) ledger: LeaseLedger,
    pub(super) allocated: BTreeSet<LeaseKey>,
    /// Step at which the agent last started.
    pub(super) started: Step,
}

impl Engine {
    /// Returns an empty engine whose agent assumes a capacity of `total` tokens.
    pub(super) fn new(step: Duration, total: Tokens) -> Self {
        let ledger = LeaseLedger::new(lease_settings(step), total);
        Self { ledger, allocated: BTreeSet::new(), started: 0 }
    }

    /// Returns the allocations that the engine reports.
    pub(super) fn allocations(&self) -> Vec<Allocation> {
        self.allocated
            .iter()
            .map(|key| Allocation { lease: key.id(), tokens: LEASE_SIZE })
            .collect()
    }

    /// Allocates memory for a lease if enough is free; the engine decides this without the ledger.
    pub(super) fn allocate(&mut self, key: LeaseKey) {
        if (self.allocated.len() as Tokens + 1) * LEASE_SIZE <= ENGINE_CAPACITY {
            self.allocated.insert(key);
        }
    }

    /// Restarts the agent without state; if `rebuild` is set, it recovers its leases from the
    /// engine's allocations.
    pub(super) fn restart(&mut self, step: Duration, rebuild: bool, time: Step, now: Instant) {
        self.ledger = LeaseLedger::new(lease_settings(step), ENGINE_CAPACITY);
        self.started = time;
        if rebuild {
            let allocations = self.allocations();
            self.ledger.rebuild(&allocations, now);
        }
    }

    /// Returns whether the ledger contains the lease.
    pub(super) fn has_lease(&self, key: LeaseKey) -> bool {
        let allocation = Allocation { lease: key.id(), tokens: LEASE_SIZE };
        self.ledger.orphans(&[allocation]).is_empty()
    }
}
