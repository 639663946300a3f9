//! Planning of how the KV cache of one prompt is split over several engines.

use crate::ids::{TargetId, Tokens};

/// Memory of one engine according to its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineMemory {
    /// Target of the engine.
    pub target: TargetId,
    /// Total memory of the engine, in tokens of KV cache.
    pub total: Tokens,
    /// Memory that was free at the last report, in tokens of KV cache.
    pub free: Tokens,
}

/// The part of a prompt that is assigned to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Target of the engine.
    pub target: TargetId,
    /// Size of the part, in tokens of KV cache.
    pub tokens: Tokens,
}

/// Reason why a prompt cannot be split over the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The engines that can hold a minimum share have together less memory than the prompt needs,
    /// even when all are empty.
    #[error(
        "prompt needs {needed} tokens of memory, but the engines that can hold a share have less \
         (all engines together: {total})"
    )]
    TooLarge {
        /// Memory that the prompt needs, in tokens.
        needed: Tokens,
        /// Total memory of all engines, including those that cannot hold a minimum share, in
        /// tokens.
        total: Tokens,
    },
}

/// Splits `needed` tokens over as few engines as possible, preferring those with the most free
/// memory.
///
/// Each share is at least `min_share` tokens. The shares leave equal amounts of free memory on the
/// engines as far as possible, so that each of them can still accept short requests.
///
/// If too little memory is free, the split is based on the total memory of the engines instead.
/// The engines then refuse the leases at first, but queue the request and hold memory back for it.
/// Without these lease requests, short requests would use up any memory that becomes free.
///
/// The shares are sorted by ascending target. Leases must be acquired in this order, because
/// holders that use the same order cannot deadlock.
///
/// # Errors
///
/// Returns [`PlanError::TooLarge`] if the engines that can hold a minimum share cannot hold the
/// prompt even when empty.
pub fn plan(
    engines: &[EngineMemory],
    needed: Tokens,
    min_share: Tokens,
) -> Result<Vec<Share>, PlanError> {
    let by_free_memory = split(engines, needed, min_share, |engine| engine.free.min(engine.total));
    let shares =
        by_free_memory.or_else(|| split(engines, needed, min_share, |engine| engine.total));
    let total = engines.iter().map(|engine| engine.total).sum();
    shares.ok_or(PlanError::TooLarge { needed, total })
}

fn split(
    engines: &[EngineMemory],
    needed: Tokens,
    min_share: Tokens,
    usable_memory: impl Fn(&EngineMemory) -> Tokens,
) -> Option<Vec<Share>> {
    let min_share = min_share.max(1);
    let mut usable: Vec<(Tokens, &EngineMemory)> = engines
        .iter()
        .map(|engine| (usable_memory(engine), engine))
        .filter(|(size, _)| *size >= min_share)
        .collect();
    usable.sort_by(|(a, first), (b, second)| b.cmp(a).then(first.target.cmp(&second.target)));
    usable.truncate(min_prefix_len(&usable, needed)?);
    let sizes: Vec<Tokens> = usable.iter().map(|(size, _)| *size).collect();
    let needed = needed.max(min_share * sizes.len() as Tokens);
    let mut shares: Vec<Share> = usable
        .iter()
        .zip(distribute(&sizes, needed, min_share))
        .map(|((_, engine), tokens)| Share { target: engine.target.clone(), tokens })
        .collect();
    shares.sort_by(|a, b| a.target.cmp(&b.target));
    Some(shares)
}

/// Returns the length of the shortest prefix of `usable` that holds `needed` tokens, if any does.
fn min_prefix_len(usable: &[(Tokens, &EngineMemory)], needed: Tokens) -> Option<usize> {
    let mut total = 0;
    for (index, (size, _)) in usable.iter().enumerate() {
        total += size;
        if total >= needed {
            return Some(index + 1);
        }
    }
    None
}

/// Distributes `needed` tokens over engines with `sizes` tokens of usable memory, so that the
/// memory left on them is as equal as possible.
fn distribute(sizes: &[Tokens], needed: Tokens, min_share: Tokens) -> Vec<Tokens> {
    let shares_leaving = |remainder: Tokens| -> Vec<Tokens> {
        sizes.iter().map(|size| size.saturating_sub(remainder).max(min_share)).collect()
    };
    // Binary search for the largest remainder, the memory left on each engine; the shares shrink as
    // it grows.
    let (mut low, mut high) = (0, sizes.iter().copied().max().unwrap_or(0));
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if shares_leaving(middle).iter().sum::<Tokens>() >= needed {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    let mut shares = shares_leaving(low);
    let mut excess = shares.iter().sum::<Tokens>() - needed;
    // A remainder that is larger by one token leaves too little, so the excess is at most one token
    // per share.
    for share in &mut shares {
        let reduction = excess.min(*share - min_share).min(1);
        *share -= reduction;
        excess -= reduction;
    }
    shares
}
