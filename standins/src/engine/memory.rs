//! Memory of an engine: streams, leases and cached prefixes share the KV cache.

use super::{cache::PrefixCache, error::EngineError};
use fulmarhead_lib::{
    ids::{LeaseId, Tokens},
    lease::Allocation,
};
use std::collections::BTreeMap;

/// Memory of an engine.
#[derive(Debug)]
pub(super) struct Memory {
    total: Tokens,
    used: Tokens,
    leases: BTreeMap<LeaseId, LeasedMemory>,
    pub(super) cache: PrefixCache,
}

/// Memory of a lease and what was computed into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeasedMemory {
    /// Allocated tokens.
    pub(super) tokens: Tokens,
    /// Tokens of the last segment that was computed.
    pub(super) filled: Tokens,
    /// State after the last segment.
    pub(super) state: u64,
}

impl Memory {
    /// Returns empty memory of `total` tokens.
    pub(super) fn new(total: Tokens, cache: PrefixCache) -> Self {
        Self { total, used: 0, leases: BTreeMap::new(), cache }
    }

    /// Forgets everything, as a restart does.
    pub(super) fn clear(&mut self) {
        self.used = 0;
        self.leases.clear();
        self.cache.clear();
    }

    /// Returns the tokens that streams and leases hold; cached prefixes make way for them.
    pub(super) fn used(&self) -> Tokens {
        self.used + self.leases.values().map(|lease| lease.tokens).sum::<Tokens>()
    }

    /// Takes memory for a stream.
    pub(super) fn take(&mut self, tokens: Tokens) -> Result<(), EngineError> {
        self.make_room(tokens)?;
        self.used += tokens;
        Ok(())
    }

    /// Gives back the memory of a stream.
    pub(super) fn give_back(&mut self, tokens: Tokens) {
        self.used -= tokens;
    }

    /// Keeps the prefix blocks of a prompt as far as there is memory.
    pub(super) fn keep(&mut self, model: &str, blocks: &[u64]) {
        let room = self.total.saturating_sub(self.used());
        self.cache.insert(model, blocks, room);
    }

    /// Allocates the memory of a lease; repeating the call changes nothing.
    pub(super) fn allocate(&mut self, lease: LeaseId, tokens: Tokens) -> Result<(), EngineError> {
        if self.leases.contains_key(&lease) {
            return Ok(());
        }
        self.make_room(tokens)?;
        self.leases.insert(lease, LeasedMemory { tokens, filled: 0, state: 0 });
        Ok(())
    }

    /// Frees the memory of a lease.
    pub(super) fn free(&mut self, lease: LeaseId) -> Result<(), EngineError> {
        self.leases.remove(&lease).map(|_| ()).ok_or(EngineError::UnknownLease)
    }

    /// Returns the memory of a lease.
    pub(super) fn lease(&self, lease: LeaseId) -> Result<LeasedMemory, EngineError> {
        self.leases.get(&lease).copied().ok_or(EngineError::UnknownLease)
    }

    /// Records what was computed into the memory of a lease.
    pub(super) fn fill(
        &mut self,
        lease: LeaseId,
        filled: Tokens,
        state: u64,
    ) -> Result<(), EngineError> {
        let memory = self.leases.get_mut(&lease).ok_or(EngineError::UnknownLease)?;
        if filled > memory.tokens {
            return Err(EngineError::NoMemory);
        }
        memory.filled = filled;
        memory.state = state;
        Ok(())
    }

    /// Returns the memory that leases hold.
    pub(super) fn allocations(&self) -> Vec<Allocation> {
        let leases = self.leases.iter();
        leases.map(|(&lease, memory)| Allocation { lease, tokens: memory.tokens }).collect()
    }

    fn make_room(&mut self, tokens: Tokens) -> Result<(), EngineError> {
        let left = self.total.checked_sub(self.used() + tokens).ok_or(EngineError::NoMemory)?;
        self.cache.shrink(left);
        Ok(())
    }
}
