//! The ledger of leases on the KV cache memory of one engine.

use super::waiting::WaitQueue;
use crate::{
    ids::{LeaseId, RequestId, Tokens},
    outcome::{Reason, Refusal},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Durations that govern leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// Time after which a lease expires unless it is renewed.
    pub period: Duration,
    /// Time after which a refused request may be retried.
    pub retry_after: Duration,
    /// Time for which a request stays in the wait queue; while it has no lease, memory is held back
    /// for it.
    ///
    /// An entry waits up to 500 ms between two rounds of attempts. This value exceeds that by
    /// enough time for the calls to the other engines of a reservation.
    pub wait_timeout: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(10),
            retry_after: Duration::from_millis(250),
            wait_timeout: Duration::from_secs(2),
        }
    }
}

/// A granted lease, as returned to its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Identifier of the lease.
    pub lease: LeaseId,
    /// Reserved KV cache, in tokens.
    pub tokens: Tokens,
    /// Time from now after which the lease expires unless it is renewed.
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
    expires_at: Instant,
}

/// Leases on the memory of one engine, and the requests that wait for memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseLedger {
    settings: LeaseSettings,
    total: Tokens,
    leases: BTreeMap<LeaseId, Lease>,
    /// Ended leases and the time until which delayed messages about them are refused.
    ended: BTreeMap<LeaseId, Instant>,
    wait_queue: WaitQueue,
}

impl LeaseLedger {
    /// Creates an empty ledger for an engine with `total` tokens of KV cache.
    pub fn new(settings: LeaseSettings, total: Tokens) -> Self {
        let (leases, ended) = (BTreeMap::new(), BTreeMap::new());
        Self { settings, total, leases, ended, wait_queue: WaitQueue::default() }
    }

    /// Sets the total KV cache of the engine, in tokens; existing leases remain.
    pub fn set_total(&mut self, total: Tokens) {
        self.total = total;
    }

    /// Restores leases from the allocations that the engine reports after a restart of the agent.
    ///
    /// Each restored lease expires after one period unless its holder renews it. An ended lease is
    /// not restored: the engine has not freed its memory yet.
    pub fn rebuild(&mut self, allocations: &[Allocation], now: Instant) {
        for allocation in allocations {
            if self.ended.contains_key(&allocation.lease) {
                continue;
            }
            let lease = Lease {
                request: None,
                tokens: allocation.tokens,
                expires_at: now + self.settings.period,
            };
            self.leases.entry(allocation.lease).or_insert(lease);
        }
    }

    /// Reserves `tokens` for `request` under the identifier `lease`.
    ///
    /// `unleased_usage` is the most memory that running work without a lease uses. Repeating the
    /// call for the same request and lease returns the same grant. The request stays in the wait
    /// queue for [`LeaseSettings::wait_timeout`]; while it has no lease, requests with a greater
    /// identifier cannot take the memory that it waits for.
    ///
    /// # Errors
    ///
    /// Returns a refusal with [`Reason::NoMemory`] if too little memory is available, or with
    /// [`Reason::LeaseExpired`] if the lease has ended or exists with another request or size.
    pub fn reserve(
        &mut self,
        request: RequestId,
        lease: LeaseId,
        tokens: Tokens,
        unleased_usage: Tokens,
        now: Instant,
    ) -> Result<Grant, Refusal> {
        if let Some(existing) = self.leases.get_mut(&lease) {
            if existing.request.is_some_and(|holder| holder != request) || existing.tokens != tokens
            {
                return Err(Refusal::not_run(Reason::LeaseExpired));
            }
            existing.request = Some(request);
            existing.expires_at = now + self.settings.period;
            return Ok(self.grant(lease, tokens));
        }
        if self.ended.contains_key(&lease) {
            return Err(Refusal::not_run(Reason::LeaseExpired));
        }
        if tokens > self.total {
            // Not added to the wait queue, because the engine can never provide this much memory.
            return Err(self.no_memory_refusal());
        }
        self.wait_queue.insert(request, tokens, now + self.settings.wait_timeout);
        let unavailable = unleased_usage.saturating_add(self.held_back(request, now));
        if unavailable.saturating_add(tokens) > self.unleased_memory() {
            return Err(self.no_memory_refusal());
        }
        let expires_at = now + self.settings.period;
        self.leases.insert(lease, Lease { request: Some(request), tokens, expires_at });
        Ok(self.grant(lease, tokens))
    }

    /// Returns the memory held back for the first waiting request if it precedes `request`.
    fn held_back(&self, request: RequestId, now: Instant) -> Tokens {
        let first = self.first_waiting(now).filter(|&(first, _)| first < request);
        first.map_or(0, |(_, tokens)| tokens)
    }

    fn first_waiting(&self, now: Instant) -> Option<(RequestId, Tokens)> {
        let has_lease = |request| self.leases.values().any(|lease| lease.request == Some(request));
        self.wait_queue.first(now, |request| !has_lease(request))
    }

    fn no_memory_refusal(&self) -> Refusal {
        Refusal::not_run(Reason::NoMemory).with_retry_after(self.settings.retry_after)
    }

    /// Extends a lease to one period from now.
    ///
    /// # Errors
    ///
    /// Returns a refusal with [`Reason::LeaseExpired`] if the lease is unknown or has expired.
    pub fn renew(&mut self, lease: LeaseId, now: Instant) -> Result<Grant, Refusal> {
        let period = self.settings.period;
        let existing = self
            .leases
            .get_mut(&lease)
            .filter(|existing| existing.expires_at > now)
            .ok_or(Refusal::not_run(Reason::LeaseExpired))?;
        existing.expires_at = now + period;
        let tokens = existing.tokens;
        Ok(self.grant(lease, tokens))
    }

    /// Ends a lease and returns whether it was in the ledger.
    ///
    /// For one period after that, requests for the same lease are refused. Such a request was
    /// delayed or sent twice, and its holder no longer tracks the lease.
    pub fn release(&mut self, lease: LeaseId, now: Instant) -> bool {
        self.ended.insert(lease, now + self.settings.period);
        self.leases.remove(&lease).is_some()
    }

    /// Ends and returns the expired leases, whose memory the caller must free.
    pub fn expire(&mut self, now: Instant) -> Vec<LeaseId> {
        self.wait_queue.expire(now);
        self.ended.retain(|_, until| *until > now);
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(&id, _)| id)
            .collect();
        for &id in &expired {
            self.release(id, now);
        }
        expired
    }

    /// Returns the allocations of the engine that have no lease in the ledger.
    pub fn orphans(&self, allocations: &[Allocation]) -> Vec<LeaseId> {
        allocations
            .iter()
            .map(|allocation| allocation.lease)
            .filter(|lease| !self.leases.contains_key(lease))
            .collect()
    }

    /// Returns the memory not held by leases, in tokens.
    pub fn unleased_memory(&self) -> Tokens {
        self.total.saturating_sub(self.used())
    }

    /// Returns the memory that work without a lease is permitted to use, in tokens.
    ///
    /// Memory is held back for the first waiting request only if the memory not held by leases is
    /// enough for it; the request can then start once work without a lease ends. If it also needed
    /// another lease to end, holding memory back would not help.
    pub fn available(&self, now: Instant) -> Tokens {
        let unleased = self.unleased_memory();
        let held_back = self.first_waiting(now).map_or(0, |(_, tokens)| tokens);
        unleased.checked_sub(held_back).unwrap_or(unleased)
    }

    /// Returns the memory held by leases, in tokens.
    pub fn used(&self) -> Tokens {
        self.leases.values().map(|lease| lease.tokens).sum()
    }

    /// Returns the memory of a lease in tokens, or `None` if it is unknown or has expired.
    pub fn tokens(&self, lease: LeaseId, now: Instant) -> Option<Tokens> {
        self.leases
            .get(&lease)
            .filter(|existing| existing.expires_at > now)
            .map(|existing| existing.tokens)
    }

    /// Returns the number of leases, including expired ones that are not yet removed.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns whether the ledger contains no lease.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    fn grant(&self, lease: LeaseId, tokens: Tokens) -> Grant {
        Grant { lease, tokens, period: self.settings.period }
    }
}
