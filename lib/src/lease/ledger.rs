//! The ledger of leases on one engine's memory.

use crate::{
    ids::{LeaseId, RequestId, Tokens},
    outcome::{Reason, Refusal},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Times of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long a lease lasts unless it is renewed.
    pub period: Duration,
    /// Time after which a refused holder may ask again.
    pub retry_after: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { period: Duration::from_secs(10), retry_after: Duration::from_millis(250) }
    }
}

/// A lease as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identifier of the lease.
    pub lease: LeaseId,
    /// Reserved KV cache, in tokens.
    pub tokens: Tokens,
    /// How long the lease lasts from now unless it is renewed.
    pub period: Duration,
}

/// Memory that an engine reports as allocated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// Lease that the memory was allocated for.
    pub lease: LeaseId,
    /// Allocated KV cache, in tokens.
    pub tokens: Tokens,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    request: Option<RequestId>,
    tokens: Tokens,
    expires: Instant,
}

/// Leases on the memory of one engine.
#[derive(Clone, Debug)]
pub struct LeaseLedger {
    settings: LeaseSettings,
    total: Tokens,
    leases: BTreeMap<LeaseId, Lease>,
}

impl LeaseLedger {
    /// Returns the empty ledger of an engine with `total` tokens of KV cache.
    pub fn new(settings: LeaseSettings, total: Tokens) -> Self {
        Self { settings, total, leases: BTreeMap::new() }
    }

    /// Sets the memory that the engine has.
    pub fn set_total(&mut self, total: Tokens) {
        self.total = total;
    }

    /// Takes over the allocations that an engine reports after the agent restarted.
    ///
    /// Each is kept for one period, in which its holder may renew it.
    pub fn rebuild(&mut self, allocations: &[Allocation], now: Instant) {
        for allocation in allocations {
            let lease = Lease {
                request: None,
                tokens: allocation.tokens,
                expires: now + self.settings.period,
            };
            self.leases.entry(allocation.lease).or_insert(lease);
        }
    }

    /// Reserves `tokens` for `request` under the identifier `lease`.
    ///
    /// `in_use` is the memory that work without a lease may use. A holder that asks again for the same request and lease gets the same grant.
    pub fn reserve(
        &mut self,
        request: RequestId,
        lease: LeaseId,
        tokens: Tokens,
        in_use: Tokens,
        now: Instant,
    ) -> Result<Grant, Refusal> {
        if let Some(known) = self.leases.get_mut(&lease) {
            if known.request.is_some_and(|holder| holder != request) || known.tokens != tokens {
                return Err(Refusal::not_run(Reason::LeaseExpired));
            }
            known.expires = now + self.settings.period;
            return Ok(self.grant(lease, tokens));
        }
        if tokens + in_use > self.free() {
            return Err(Refusal::not_run(Reason::NoMemory).after(self.settings.retry_after));
        }
        let expires = now + self.settings.period;
        self.leases.insert(lease, Lease { request: Some(request), tokens, expires });
        Ok(self.grant(lease, tokens))
    }

    /// Extends a lease by one period from now.
    pub fn renew(&mut self, lease: LeaseId, now: Instant) -> Result<Grant, Refusal> {
        let period = self.settings.period;
        let known = self
            .leases
            .get_mut(&lease)
            .filter(|known| known.expires > now)
            .ok_or(Refusal::not_run(Reason::LeaseExpired))?;
        known.expires = now + period;
        let tokens = known.tokens;
        Ok(self.grant(lease, tokens))
    }

    /// Ends a lease; returns whether it was known.
    pub fn release(&mut self, lease: LeaseId) -> bool {
        self.leases.remove(&lease).is_some()
    }

    /// Ends the leases that nobody renewed, so that the caller frees their memory.
    pub fn expire(&mut self, now: Instant) -> Vec<LeaseId> {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in &expired {
            self.leases.remove(id);
        }
        expired
    }

    /// Returns the allocations of an engine that no lease covers.
    pub fn orphans(&self, allocations: &[Allocation]) -> Vec<LeaseId> {
        allocations
            .iter()
            .map(|allocation| allocation.lease)
            .filter(|lease| !self.leases.contains_key(lease))
            .collect()
    }

    /// Returns the memory that no lease holds, in tokens.
    pub fn free(&self) -> Tokens {
        self.total.saturating_sub(self.used())
    }

    /// Returns the memory that leases hold, in tokens.
    pub fn used(&self) -> Tokens {
        self.leases.values().map(|lease| lease.tokens).sum()
    }

    /// Returns the memory of a lease that is in force, in tokens.
    pub fn tokens(&self, lease: LeaseId, now: Instant) -> Option<Tokens> {
        self.leases.get(&lease).filter(|known| known.expires > now).map(|known| known.tokens)
    }

    /// Returns how many leases the ledger holds.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns whether the ledger holds no lease.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    fn grant(&self, lease: LeaseId, tokens: Tokens) -> Grant {
        Grant { lease, tokens, period: self.settings.period }
    }
}
