//! An engine with its agent in the model of leases; the agent decides with the real ledger.

use super::state::{HolderNumber, Key};
use crate::clock::Step;
use fulmarhead_lib::{
    ids::{RequestId, Tokens},
    lease::{Allocation, LeaseLedger, LeaseSettings},
};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Memory of an engine.
pub(super) const TOTAL: Tokens = 100;

/// Memory that each holder needs of each engine, more than half, so that only one can have it.
pub(super) const SHARE: Tokens = 60;

/// Returns the settings of the ledgers: a lease lasts two steps.
pub(super) fn settings(step: Duration) -> LeaseSettings {
    LeaseSettings { period: step * 2, retry_after: step, wait_timeout: step * 2 }
}

/// Returns the identifier of a holder's request; the lower number was received first.
pub(super) fn request(holder: HolderNumber) -> RequestId {
    RequestId::from_u128(holder as u128)
}

/// An engine and its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Engine {
    pub(super) ledger: LeaseLedger,
    pub(super) memory: BTreeSet<Key>,
    /// Time of the agent's last start.
    pub(super) started: Step,
}

impl Engine {
    /// Returns an empty engine whose agent believes in `total` tokens.
    pub(super) fn new(step: Duration, total: Tokens) -> Self {
        let ledger = LeaseLedger::new(settings(step), total);
        Self { ledger, memory: BTreeSet::new(), started: 0 }
    }

    /// Returns what the engine reports as allocated.
    pub(super) fn allocations(&self) -> Vec<Allocation> {
        self.memory.iter().map(|key| Allocation { lease: key.id(), tokens: SHARE }).collect()
    }

    /// Allocates memory if there is enough, as the engine itself decides.
    pub(super) fn allocate(&mut self, key: Key) {
        if (self.memory.len() as Tokens + 1) * SHARE <= TOTAL {
            self.memory.insert(key);
        }
    }

    /// Replaces the agent by one that starts without state.
    pub(super) fn restart(&mut self, step: Duration, rebuild: bool, time: Step, now: Instant) {
        self.ledger = LeaseLedger::new(settings(step), TOTAL);
        self.started = time;
        if rebuild {
            let allocations = self.allocations();
            self.ledger.rebuild(&allocations, now);
        }
    }

    /// Returns whether the ledger holds the lease.
    pub(super) fn has_lease(&self, key: Key) -> bool {
        let allocation = Allocation { lease: key.id(), tokens: SHARE };
        self.ledger.orphans(&[allocation]).is_empty()
    }
}
