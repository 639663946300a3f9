//! KV cache accounting: streams, leases and cached prefixes share the memory of an engine.

use super::{cache::PrefixCache, error::EngineError};
use fulmarhead_lib::{
    ids::{LeaseId, Tokens},
    lease::Allocation,
};
use std::collections::BTreeMap;

/// KV cache of an engine, in tokens.
#[derive(Debug)]
pub(super) struct Memory {
    total: Tokens,
    used: Tokens,
    leases: BTreeMap<LeaseId, LeasedMemory>,
    pub(super) cache: PrefixCache,
}

/// Memory of a lease and the prompt segment that was prefilled into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeasedMemory {
    /// Allocated tokens.
    pub(super) tokens: Tokens,
    /// Length of the last prefilled segment, in tokens.
    pub(super) prefilled: Tokens,
    /// Hash state after the last prefilled segment.
    pub(super) state: u64,
}

impl Memory {
    /// Returns unused memory of `total` tokens.
    pub(super) fn new(total: Tokens, cache: PrefixCache) -> Self {
        Self { total, used: 0, leases: BTreeMap::new(), cache }
    }

    /// Releases all memory and clears the cache, as a restart does.
    pub(super) fn clear(&mut self) {
        self.used = 0;
        self.leases.clear();
        self.cache.clear();
    }

    /// Returns the tokens that streams and leases hold.
    ///
    /// Cached prefixes don't count, since they are evicted when the memory is needed.
    pub(super) fn used(&self) -> Tokens {
        self.used + self.leases.values().map(|lease| lease.tokens).sum::<Tokens>()
    }

    /// Reserves memory for a stream, evicting cached prefixes if needed.
    pub(super) fn reserve(&mut self, tokens: Tokens) -> Result<(), EngineError> {
        self.evict_for(tokens)?;
        self.used += tokens;
        Ok(())
    }

    /// Releases memory that was reserved for a stream.
    pub(super) fn release(&mut self, tokens: Tokens) {
        self.used -= tokens;
    }

    /// Caches the prefix blocks of a prompt as far as free memory allows.
    pub(super) fn cache_prefix(&mut self, model: &str, blocks: &[u64]) {
        let capacity = self.total.saturating_sub(self.used());
        self.cache.insert(model, blocks, capacity);
    }

    /// Allocates the memory of a lease; the call is idempotent.
    pub(super) fn allocate(&mut self, lease: LeaseId, tokens: Tokens) -> Result<(), EngineError> {
        if self.leases.contains_key(&lease) {
            return Ok(());
        }
        self.evict_for(tokens)?;
        self.leases.insert(lease, LeasedMemory { tokens, prefilled: 0, state: 0 });
        Ok(())
    }

    /// Frees the memory of a lease; fails if the lease is unknown.
    pub(super) fn free(&mut self, lease: LeaseId) -> Result<(), EngineError> {
        self.leases.remove(&lease).map(|_| ()).ok_or(EngineError::UnknownLease)
    }

    /// Returns the memory of a lease; fails if the lease is unknown.
    pub(super) fn lease(&self, lease: LeaseId) -> Result<LeasedMemory, EngineError> {
        self.leases.get(&lease).copied().ok_or(EngineError::UnknownLease)
    }

    /// Records the prompt segment that was prefilled or imported into the memory of a lease.
    pub(super) fn record_prefill(
        &mut self,
        lease: LeaseId,
        prefilled: Tokens,
        state: u64,
    ) -> Result<(), EngineError> {
        let memory = self.leases.get_mut(&lease).ok_or(EngineError::UnknownLease)?;
        if prefilled > memory.tokens {
            return Err(EngineError::NoMemory);
        }
        memory.prefilled = prefilled;
        memory.state = state;
        Ok(())
    }

    /// Returns the allocated memory of each lease.
    pub(super) fn allocations(&self) -> Vec<Allocation> {
        let leases = self.leases.iter();
        leases.map(|(&lease, memory)| Allocation { lease, tokens: memory.tokens }).collect()
    }

    fn evict_for(&mut self, tokens: Tokens) -> Result<(), EngineError> {
        let free_tokens =
            self.total.checked_sub(self.used() + tokens).ok_or(EngineError::NoMemory)?;
        self.cache.shrink(free_tokens);
        Ok(())
    }
}
