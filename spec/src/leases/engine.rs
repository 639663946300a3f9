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

/// Memory of each engine, in tokens.
pub(super) const ENGINE_CAPACITY: Tokens = 100;

/// Memory, in tokens, that each holder needs on each engine: more than half of [`ENGINE_CAPACITY`],
/// so that leases of two holders never fit on one engine.
pub(super) const LEASE_SIZE: Tokens = 60;

/// Returns the settings of the ledgers: a lease lasts two steps, a refused request may be retried
/// after one, and it stays in the wait queue for two.
pub(super) fn lease_settings(step_duration: Duration) -> LeaseSettings {
    LeaseSettings {
        period: step_duration * 2,
        retry_after: step_duration,
        wait_timeout: step_duration * 2,
    }
}

/// Returns the identifier of a holder's request. The ledger takes a lower identifier for an earlier
/// request, so the holder with the lower index comes first.
pub(super) fn request_id(holder: HolderIndex) -> RequestId {
    RequestId::from_u128(holder as u128)
}

/// An engine and the lease state of its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Engine {
    pub(super) ledger: LeaseLedger,
    /// Leases for which the engine has allocated memory.
    pub(super) allocated_leases: BTreeSet<LeaseKey>,
    /// Step at which the agent last started.
    pub(super) agent_started: Step,
}

impl Engine {
    /// Returns an empty engine whose agent assumes a capacity of `assumed_capacity` tokens.
    pub(super) fn new(step_duration: Duration, assumed_capacity: Tokens) -> Self {
        let ledger = LeaseLedger::new(lease_settings(step_duration), assumed_capacity);
        Self { ledger, allocated_leases: BTreeSet::new(), agent_started: 0 }
    }

    /// Returns the allocations that the engine reports.
    pub(super) fn allocations(&self) -> Vec<Allocation> {
        self.allocated_leases
            .iter()
            .map(|key| Allocation { lease: key.id(), tokens: LEASE_SIZE })
            .collect()
    }

    /// Allocates memory for a lease if enough is free; the engine decides this without the ledger.
    pub(super) fn allocate(&mut self, key: LeaseKey) {
        if (self.allocated_leases.len() as Tokens + 1) * LEASE_SIZE <= ENGINE_CAPACITY {
            self.allocated_leases.insert(key);
        }
    }

    /// Restarts the agent without state; if `rebuild` is set, it recovers its leases from the
    /// engine's allocations.
    pub(super) fn restart_agent(
        &mut self,
        step_duration: Duration,
        rebuild: bool,
        time: Step,
        now: Instant,
    ) {
        self.ledger = LeaseLedger::new(lease_settings(step_duration), ENGINE_CAPACITY);
        self.agent_started = time;
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
