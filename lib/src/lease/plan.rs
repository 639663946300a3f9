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
}

/// Splits `needed` tokens over the fewest engines, the ones with the most free memory first.
///
/// Each share is at least `smallest` tokens. The engines keep equal amounts of free memory as far
/// as possible, so that each of them still takes short requests.
///
/// If too little memory is free, the split goes by the memory of the empty engines. The engines
/// then refuse the leases at first, but remember the request and keep memory for it; if nobody
/// asked them, short requests would take each bit of memory that becomes free.
///
/// The shares come in ascending order of target, the order in which leases must be taken: two
/// holders that take leases in one order can't wait for each other.
pub fn plan(rooms: &[Room], needed: Tokens, smallest: Tokens) -> Result<Vec<Share>, PlanError> {
    let by_free = split(rooms, needed, smallest, |room| room.free.min(room.total));
    let shares = by_free.or_else(|| split(rooms, needed, smallest, |room| room.total));
    let total = rooms.iter().map(|room| room.total).sum();
    shares.ok_or(PlanError::TooLarge { needed, total })
}

fn split(
    rooms: &[Room],
    needed: Tokens,
    smallest: Tokens,
    size: impl Fn(&Room) -> Tokens,
) -> Option<Vec<Share>> {
    let smallest = smallest.max(1);
    let mut usable: Vec<(Tokens, &Room)> =
        rooms.iter().map(|room| (size(room), room)).filter(|(size, _)| *size >= smallest).collect();
    usable.sort_by(|(a, first), (b, second)| b.cmp(a).then(first.target.cmp(&second.target)));
    usable.truncate(fewest(&usable, needed)?);
    let sizes: Vec<Tokens> = usable.iter().map(|(size, _)| *size).collect();
    let needed = needed.max(smallest * sizes.len() as Tokens);
    let mut shares: Vec<Share> = usable
        .iter()
        .zip(level(&sizes, needed, smallest))
        .map(|((_, room), tokens)| Share { target: room.target.clone(), tokens })
        .collect();
    shares.sort_by(|a, b| a.target.cmp(&b.target));
    Some(shares)
}

/// Returns how many of the engines, in this order, hold `needed` tokens together.
fn fewest(usable: &[(Tokens, &Room)], needed: Tokens) -> Option<usize> {
    let mut held = 0;
    for (index, (size, _)) in usable.iter().enumerate() {
        held += size;
        if held >= needed {
            return Some(index + 1);
        }
    }
    None
}

/// Takes `needed` tokens from `sizes` so that what remains of each is as equal as possible.
fn level(sizes: &[Tokens], needed: Tokens, smallest: Tokens) -> Vec<Tokens> {
    let take = |rest: Tokens| -> Vec<Tokens> {
        sizes.iter().map(|size| size.saturating_sub(rest).max(smallest)).collect()
    };
    // The most that can remain of each; what is taken falls as the rest rises.
    let (mut low, mut high) = (0, sizes.iter().copied().max().unwrap_or(0));
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if take(middle).iter().sum::<Tokens>() >= needed {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    let mut shares = take(low);
    let mut excess = shares.iter().sum::<Tokens>() - needed;
    for share in &mut shares {
        let less = excess.min(*share - smallest).min(1);
        *share -= less;
        excess -= less;
    }
    shares
}
