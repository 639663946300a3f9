//! Memory that the streams of targets hold until an event is complete.

use super::{
    budget::{BodyBudget, BodyReadError},
    claim::Claim,
};
use fulmarhead_lib::limits::BodyKind;

/// Memory that each stream has besides the budget, in bytes. The events of one pass of an engine
/// are far smaller.
const FREE_BYTES: usize = 4 << 10;

/// Account of the memory that one stream holds. It is released on drop.
pub struct EventMemory {
    budget: BodyBudget,
    claim: Option<(Claim, usize)>,
}

impl EventMemory {
    /// Returns the account of a stream that holds nothing.
    pub fn new(budget: &BodyBudget) -> Self {
        Self { budget: budget.clone(), claim: None }
    }

    /// Records that the stream holds `bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns `NoMemory` if the budget does not have them. The stream has to release them then.
    pub fn hold(&mut self, bytes: usize) -> Result<(), BodyReadError> {
        if bytes <= FREE_BYTES {
            self.claim = None;
            return Ok(());
        }
        let (claim, held) =
            self.claim.get_or_insert_with(|| (Claim::new(&self.budget.0, BodyKind::Event), 0));
        if bytes > *held {
            claim.try_grow(bytes - *held)?;
            *held = bytes;
        }
        Ok(())
    }
}
