//! The targets that serve one model or application, sorted by their identifiers.

use super::directory::Capacity;
use crate::ids::TargetId;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Number of targets up to which a group is not sampled.
const MAX_UNSAMPLED_TARGETS: usize = 24;

/// Number of targets sampled from a larger group.
///
/// The better of two random targets already balances most of the load. A larger sample compensates
/// for delayed reports and more often contains an engine without a long prefill.
const SAMPLE_SIZE: usize = 12;

/// Maximum number of draws for a sample.
///
/// The sample stays smaller if too few of the drawn targets are usable.
const MAX_DRAWS: u64 = 48;

/// Age after which the capacity of a group is recomputed.
const CAPACITY_TTL: Duration = Duration::from_millis(250);

/// The targets of one service, with their cached capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    members: Vec<TargetId>,
    capacity: Option<(Capacity, Instant)>,
}

/// A target of a group, and whether it is assigned to long prompts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Member<'a> {
    pub(super) id: &'a TargetId,
    pub(super) accepts_long: bool,
}

impl Group {
    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.members.iter()
    }

    pub(super) fn insert(&mut self, id: &TargetId) {
        if let Err(index) = self.members.binary_search(id) {
            self.members.insert(index, id.clone());
        }
    }

    pub(super) fn remove(&mut self, id: &TargetId) {
        if let Ok(index) = self.members.binary_search(id) {
            self.members.remove(index);
        }
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.members.retain(|id| keep(id));
        self.capacity = None;
    }

    pub(super) fn member(&self, id: &TargetId, long_share: f64) -> Option<Member<'_>> {
        let index = self.members.binary_search(id).ok()?;
        Some(self.member_at(index, long_share))
    }

    pub(super) fn all(&self, long_share: f64) -> impl Iterator<Item = Member<'_>> {
        (0..self.members.len()).map(move |index| self.member_at(index, long_share))
    }

    /// Returns the usable targets of a small group, or a sample of those of a large one.
    ///
    /// The same seed gives the same sample, so a waiting request retries the same targets.
    pub(super) fn sample(
        &self,
        seed: u64,
        long_share: f64,
        is_usable: impl Fn(&str) -> bool,
    ) -> Vec<Member<'_>> {
        let count = self.members.len();
        if count <= MAX_UNSAMPLED_TARGETS {
            return self.all(long_share).filter(|member| is_usable(member.id)).collect();
        }
        let mut drawn = BTreeSet::new();
        let mut sample = Vec::with_capacity(SAMPLE_SIZE);
        for draw in 0..MAX_DRAWS {
            let index = (splitmix64(seed.wrapping_add(draw)) % count as u64) as usize;
            if sample.len() < SAMPLE_SIZE && drawn.insert(index) && is_usable(&self.members[index])
            {
                sample.push(self.member_at(index, long_share));
            }
        }
        sample
    }

    pub(super) fn capacity(&self, now: Instant) -> Option<Capacity> {
        let (capacity, at) = self.capacity?;
        (now.saturating_duration_since(at) < CAPACITY_TTL).then_some(capacity)
    }

    pub(super) fn set_capacity(&mut self, capacity: Capacity, now: Instant) {
        self.capacity = Some((capacity, now));
    }

    /// Returns the member at `index`, with its assignment to long prompts.
    ///
    /// The assigned targets are spread evenly over the group and always include the first one.
    /// Entries that have received the same reports assign the same targets.
    fn member_at(&self, index: usize, long_share: f64) -> Member<'_> {
        let before = (index as f64 * long_share).ceil();
        let after = ((index + 1) as f64 * long_share).ceil();
        Member { id: &self.members[index], accepts_long: index == 0 || after > before }
    }
}

/// Returns the SplitMix64 hash of a number.
///
/// The hashes of consecutive numbers are uncorrelated.
pub(super) fn splitmix64(number: u64) -> u64 {
    let mut mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
