//! Choice of the engines that hold a prompt together.

use crate::ids::{TargetId, Tokens};

/// An engine and its memory, as an entry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Room {
    /// The engine.
    pub target: TargetId,
    /// All memory of the engine, in tokens of KV cache.
    pub total: Tokens,
    /// Memory that was free at the last report, in tokens.
    pub free: Tokens,
}

/// The part of a prompt that one engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The engine.
    pub target: TargetId,
    /// Tokens of KV cache that it holds.
    pub tokens: Tokens,
}

/// Why no plan exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// All engines together hold less than the prompt needs, even when empty.
    #[error("the prompt needs {needed} tokens of memory and all engines have {total}")]
    TooLarge {
        /// Needed tokens.
        needed: Tokens,
        /// Tokens that all engines hold when empty.
        total: Tokens,
    },
    /// The engines have too little free memory at the moment.
    #[error("the prompt needs {needed} tokens of memory and {free} are free")]
    NoRoom {
        /// Needed tokens.
        needed: Tokens,
        /// Free tokens.
        free: Tokens,
    },
}

/// Splits `needed` tokens over the fewest engines, the ones with the most free memory first.
///
/// The shares come in ascending order of target, the order in which leases must be taken: two
/// holders that take leases in one order can't wait for each other.
pub fn plan(rooms: &[Room], needed: Tokens) -> Result<Vec<Share>, PlanError> {
    let total: Tokens = rooms.iter().map(|room| room.total).sum();
    if needed > total {
        return Err(PlanError::TooLarge { needed, total });
    }
    let mut sorted: Vec<&Room> = rooms.iter().collect();
    sorted.sort_by(|a, b| b.free.cmp(&a.free).then_with(|| a.target.cmp(&b.target)));
    let mut left = needed;
    let mut shares = Vec::new();
    for room in sorted {
        if left == 0 {
            break;
        }
        let tokens = left.min(room.free);
        if tokens > 0 {
            shares.push(Share { target: room.target.clone(), tokens });
        }
        left -= tokens;
    }
    if left > 0 {
        return Err(PlanError::NoRoom { needed, free: needed - left });
    }
    shares.sort_by(|a, b| a.target.cmp(&b.target));
    Ok(shares)
}
