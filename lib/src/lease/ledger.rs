//! The ledger of leases on one engine's memory.

use super::waiting::Waiting;
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// How long a lease lasts unless it is renewed.
    pub period: Duration,
    /// Time after which a refused holder may ask again.
    pub retry_after: Duration,
    /// How long memory is kept for a request that asked for it and was refused.
    ///
    /// It is over the longest wait of an entry between two rounds of attempts, 500 ms, by enough
    /// for the calls to the other engines of a reservation.
    pub patience: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(10),
            retry_after: Duration::from_millis(250),
            patience: Duration::from_secs(2),
        }
    }
}

/// A lease as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    request: Option<RequestId>,
    tokens: Tokens,
    expires: Instant,
}

/// Leases on the memory of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseLedger {
    settings: LeaseSettings,
    total: Tokens,
    leases: BTreeMap<LeaseId, Lease>,
    /// Leases that have ended, until no message about them can be under way any more.
    ended: BTreeMap<LeaseId, Instant>,
    waiting: Waiting,
}

impl LeaseLedger {
    /// Returns the empty ledger of an engine with `total` tokens of KV cache.
    pub fn new(settings: LeaseSettings, total: Tokens) -> Self {
        let (leases, ended) = (BTreeMap::new(), BTreeMap::new());
        Self { settings, total, leases, ended, waiting: Waiting::default() }
    }

    /// Sets the memory that the engine has.
    pub fn set_total(&mut self, total: Tokens) {
        self.total = total;
    }

    /// Takes over the allocations that an engine reports after the agent restarted.
    ///
    /// Each is kept for one period, in which its holder may renew it. A lease that has ended is
    /// not taken over: the engine has yet to free its memory.
    pub fn rebuild(&mut self, allocations: &[Allocation], now: Instant) {
        for allocation in allocations {
            if self.ended.contains_key(&allocation.lease) {
                continue;
            }
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
    /// `in_use` is the memory that work without a lease may use. A holder that asks again for the
    /// same request and lease gets the same grant. A request that is refused for lack of memory is
    /// remembered for the patience of the settings, and requests after it in the order of their
    /// identifiers do not get the memory that it waits for.
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
            known.request = Some(request);
            known.expires = now + self.settings.period;
            return Ok(self.grant(lease, tokens));
        }
        if self.ended.contains_key(&lease) {
            return Err(Refusal::not_run(Reason::LeaseExpired));
        }
        if tokens > self.total {
            // It is not remembered: memory kept for it would never be enough.
            return Err(self.no_memory());
        }
        self.waiting.ask(request, tokens, now + self.settings.patience);
        let taken = in_use.saturating_add(self.ahead(request, now));
        if taken.saturating_add(tokens) > self.free() {
            return Err(self.no_memory());
        }
        let expires = now + self.settings.period;
        self.leases.insert(lease, Lease { request: Some(request), tokens, expires });
        Ok(self.grant(lease, tokens))
    }

    /// Returns the memory that the first waiting request needs, if it comes before `request`.
    fn ahead(&self, request: RequestId, now: Instant) -> Tokens {
        let first = self.first_waiting(now).filter(|&(first, _)| first < request);
        first.map_or(0, |(_, tokens)| tokens)
    }

    fn first_waiting(&self, now: Instant) -> Option<(RequestId, Tokens)> {
        let holds = |request| self.leases.values().any(|lease| lease.request == Some(request));
        self.waiting.first(now, |request| !holds(request))
    }

    fn no_memory(&self) -> Refusal {
        Refusal::not_run(Reason::NoMemory).with_retry_after(self.settings.retry_after)
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
    ///
    /// A request for the same lease that arrives later, because it was delayed or sent twice, is
    /// refused: its holder does not know of the lease any more.
    pub fn release(&mut self, lease: LeaseId, now: Instant) -> bool {
        self.ended.insert(lease, now + self.settings.period);
        self.leases.remove(&lease).is_some()
    }

    /// Ends the leases that nobody renewed, so that the caller frees their memory.
    pub fn expire(&mut self, now: Instant) -> Vec<LeaseId> {
        self.waiting.expire(now);
        self.ended.retain(|_, until| *until > now);
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(&id, _)| id)
            .collect();
        for &id in &expired {
            self.release(id, now);
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

    /// Returns the memory that work without a lease may use, in tokens.
    ///
    /// Memory is kept for the first waiting request only if the end of work without leases gives
    /// it enough. While it waits for another lease to end, keeping memory would not help it.
    pub fn open(&self, now: Instant) -> Tokens {
        let free = self.free();
        let kept = self.first_waiting(now).map_or(0, |(_, tokens)| tokens);
        free.checked_sub(kept).unwrap_or(free)
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
