//! Bodies in memory, while they are received and when they are complete.

use super::{
    budget::{BodyBudget, BodyReadError},
    claim::Claim,
};
use bytes::Bytes;
use fulmarhead_lib::limits::{BodyKind, PROGRESS_BYTES};
use std::fmt::{self, Debug, Formatter};
use tokio_util::sync::CancellationToken;

/// Smallest memory that a body is given at once, in bytes. Further memory is given in steps that
/// double what the body has.
const FIRST_STEP_BYTES: usize = 4 << 10;

/// A body that is being received, in one piece of memory. Small chunks therefore cost no more than
/// their bytes.
pub struct BodyBuffer {
    data: Vec<u8>,
    max_bytes: usize,
    /// Size of the body at its last progress, in bytes.
    progress: usize,
    claim: Claim,
}

impl BodyBuffer {
    /// Returns an empty buffer for a response of at most `max_bytes` bytes.
    pub fn for_response(budget: &BodyBudget, max_bytes: usize) -> Self {
        Self::new(budget, BodyKind::Response, max_bytes)
    }

    /// Returns an empty buffer for a body of at most `max_bytes` bytes.
    pub(super) fn new(budget: &BodyBudget, kind: BodyKind, max_bytes: usize) -> Self {
        Self { data: Vec::new(), max_bytes, progress: 0, claim: Claim::new(&budget.0, kind) }
    }

    /// Waits until the body could grow by `bytes`, without giving it the memory.
    pub(super) async fn wait_room(&self, bytes: usize) -> Result<(), BodyReadError> {
        self.claim.wait_room(bytes).await
    }

    /// Returns the token that is cancelled if the body has to release its memory.
    pub fn token(&self) -> &CancellationToken {
        &self.claim.token
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns whether no byte was received.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Appends bytes, once there is memory for them.
    ///
    /// # Errors
    ///
    /// Returns the reason why the body can't be received.
    pub async fn push(&mut self, bytes: &[u8]) -> Result<(), BodyReadError> {
        let size = self.data.len().saturating_add(bytes.len());
        if size > self.max_bytes {
            return Err(BodyReadError::TooLarge);
        }
        let capacity = self.data.capacity();
        if size > capacity {
            let step = capacity.saturating_mul(2).max(FIRST_STEP_BYTES).min(self.max_bytes);
            let wanted = step.max(size);
            self.claim.grow(wanted - capacity).await?;
            self.data.reserve_exact(wanted - self.data.len());
        }
        self.data.extend_from_slice(bytes);
        if self.data.len() - self.progress >= PROGRESS_BYTES {
            self.progress = self.data.len();
            self.claim.record_progress();
        }
        Ok(())
    }

    /// Returns the body, which is complete, and gives back what it does not need.
    pub fn finish(mut self) -> HeldBody {
        self.data.shrink_to_fit();
        self.claim.complete(self.data.len());
        HeldBody { data: self.data, claim: self.claim }
    }
}

/// A complete body. Its memory is accounted until the last reference to its bytes is dropped.
pub struct HeldBody {
    data: Vec<u8>,
    claim: Claim,
}

/// Memory that is accounted although the bytes of the body are no longer held. It is released on
/// drop.
pub struct HeldMemory {
    _claim: Claim,
}

impl HeldBody {
    /// Returns the bytes. The memory is accounted until all of their clones are dropped.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }

    /// Returns the bytes and the account of their memory, for a request that holds copies of them.
    pub fn into_parts(self) -> (Vec<u8>, HeldMemory) {
        (self.data, HeldMemory { _claim: self.claim })
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Debug for HeldMemory {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("HeldMemory").finish_non_exhaustive()
    }
}
