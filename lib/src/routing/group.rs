//! The targets that serve one model or application, in the order of their identifiers.

use super::directory::Capacity;
use crate::ids::TargetId;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Largest group of which every target is looked at.
const SMALL: usize = 24;

/// Targets that are looked at in a larger group.
///
/// Two choices remove most of the imbalance; more of them help against reports that lag and find
/// the engines without a long prefill.
const SAMPLE: usize = 12;

/// Draws after which a sample stays smaller, when many targets are out of service.
const DRAWS: u64 = 48;

/// Age after which the capacity of a group is added up again.
const CAPACITY_AGE: Duration = Duration::from_millis(250);

/// The targets of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    members: Vec<TargetId>,
    capacity: Option<(Capacity, Instant)>,
}

/// A target of a group.
#[derive(Clone, Copy, Debug)]
pub(super) struct Member<'a> {
    pub(super) id: &'a TargetId,
    pub(super) takes_long: bool,
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
        Some(self.at(index, long_share))
    }

    pub(super) fn all(&self, long_share: f64) -> impl Iterator<Item = Member<'_>> {
        (0..self.members.len()).map(move |index| self.at(index, long_share))
    }

    /// Returns the usable targets of a small group, or a sample of them. The same seed gives the
    /// same sample, so that a request that waits comes back to the same targets.
    pub(super) fn sample(
        &self,
        seed: u64,
        long_share: f64,
        is_usable: impl Fn(&str) -> bool,
    ) -> Vec<Member<'_>> {
        let count = self.members.len();
        if count <= SMALL {
            return self.all(long_share).filter(|member| is_usable(member.id)).collect();
        }
        let mut drawn = BTreeSet::new();
        let mut sample = Vec::with_capacity(SAMPLE);
        for draw in 0..DRAWS {
            let index = (mix(seed.wrapping_add(draw)) % count as u64) as usize;
            if sample.len() < SAMPLE && drawn.insert(index) && is_usable(&self.members[index]) {
                sample.push(self.at(index, long_share));
            }
        }
        sample
    }

    pub(super) fn capacity(&self, now: Instant) -> Option<Capacity> {
        let (capacity, at) = self.capacity?;
        (now.saturating_duration_since(at) < CAPACITY_AGE).then_some(capacity)
    }

    pub(super) fn set_capacity(&mut self, capacity: Capacity, now: Instant) {
        self.capacity = Some((capacity, now));
    }

    /// Spreads the targets that take long prompts evenly over the group. Entries with the same
    /// reports agree on them; the first target is always one of them.
    fn at(&self, index: usize, long_share: f64) -> Member<'_> {
        let before = (index as f64 * long_share).ceil();
        let after = ((index + 1) as f64 * long_share).ceil();
        Member { id: &self.members[index], takes_long: index == 0 || after > before }
    }
}

/// Mixes the bits of a number, so that numbers in a row give unrelated results (SplitMix64).
pub(super) fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
