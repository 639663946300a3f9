//! Choice of the engines that read a long prompt together.
//!
//! A part that is short enough disturbs no stream beside it; an engine without streams may read
//! for as long as it takes. The fewest engines that keep the objective are taken, so that the
//! others stay free for the next prompt.

use super::{
    cost::Need,
    pool::{Candidate, Choice},
};
use crate::{
    ids::Tokens,
    lease::{Room, plan},
    routes::EngineModel,
};
use std::cmp::Reverse;

/// Most engines that read one prompt: the first and 16 helpers, by the platform's protocol.
const MAX_ENGINES: usize = 17;

/// Part of the engines that stay idle beside those of a prompt that is too large for one. Such a
/// prompt takes as much time as several others of the same credit, so it uses only what they leave.
const IDLE_RESERVE: f64 = 0.25;

/// The choice of engines for one long prompt.
pub(super) struct Group<'a> {
    /// Candidates in ascending order of what waits to be read there.
    candidates: Vec<&'a Candidate<'a>>,
    engine: &'a EngineModel,
    need: &'a Need,
    read_ms: f64,
}

impl<'a> Group<'a> {
    pub(super) fn new(
        candidates: &'a [Candidate<'a>],
        engine: &'a EngineModel,
        need: &'a Need,
    ) -> Self {
        let mut candidates: Vec<_> = candidates.iter().rev().collect();
        candidates.sort_by(|a, b| a.load.read_ms.total_cmp(&b.load.read_ms));
        Self { candidates, engine, need, read_ms: engine.read_ms(need.prompt) }
    }

    /// Returns the fewest engines that keep the objective without harm to others, else the fewest
    /// that keep the deadline without harm; none if there are none.
    pub(super) fn choose(&self) -> Option<Choice> {
        let sizes = 1..=self.candidates.len().min(MAX_ENGINES);
        let early = sizes.clone().find_map(|size| {
            self.of_size(size).filter(|(first, _)| self.need.is_early(*first))
        });
        let possible = || {
            sizes.rev().find_map(|size| {
                self.of_size(size).filter(|(first, _)| self.need.is_possible(*first))
            })
        };
        early.or_else(possible).map(|(_, choice)| choice)
    }

    /// Returns the choice of `size` engines and the expected time to the first event, in ms.
    fn of_size(&self, size: usize) -> Option<(f64, Choice)> {
        let part = self.read_ms / size as f64;
        let harmless: Vec<&Candidate<'_>> = self
            .candidates
            .iter()
            .copied()
            .filter(|candidate| self.need.is_harmless(&candidate.load, self.engine, part))
            .collect();
        if harmless.len() < size {
            return None;
        }
        let members = match self.need.memory() > self.engine.memory {
            true => self.holders(&harmless, size)?,
            false => self.readers(&harmless, size)?,
        };
        let wait = members.iter().map(|(candidate, _)| candidate.load.read_ms).fold(0.0, f32::max);
        Some((f64::from(wait) + part, self.choice(&members, part)))
    }

    /// Returns the engine that holds the whole prompt, then those that only read.
    fn readers(
        &self,
        harmless: &[&'a Candidate<'a>],
        size: usize,
    ) -> Option<Vec<(&'a Candidate<'a>, Tokens)>> {
        let has_room = |candidate: &&Candidate<'_>| self.need.has_room(&candidate.load, self.engine);
        let first = harmless.iter().position(|candidate| has_room(candidate))?;
        let others = harmless.iter().enumerate().filter(|(index, _)| *index != first);
        let others = others.map(|(_, candidate)| (*candidate, 0)).take(size - 1);
        Some([(harmless[first], 0)].into_iter().chain(others).collect())
    }

    /// Returns the engines that hold the prompt together, the largest part first, then those that
    /// only read.
    fn holders(
        &self,
        harmless: &[&'a Candidate<'a>],
        size: usize,
    ) -> Option<Vec<(&'a Candidate<'a>, Tokens)>> {
        let rooms: Vec<Room> = harmless
            .iter()
            .map(|candidate| Room {
                target: candidate.id.clone(),
                total: self.engine.memory,
                free: self.engine.memory.saturating_sub(candidate.load.memory),
            })
            .collect();
        if rooms.iter().map(|room| room.free).sum::<Tokens>() < self.need.memory() {
            return None;
        }
        let idle = harmless.iter().filter(|candidate| candidate.load.is_idle()).count();
        let reserve = IDLE_RESERVE * self.candidates.len() as f64;
        if (idle as f64) < size as f64 + reserve {
            return None;
        }
        let mut shares = plan(&rooms, self.need.memory(), 1).ok()?;
        shares.sort_by_key(|share| Reverse(share.tokens));
        let held = |candidate: &&Candidate<'_>| {
            shares.iter().find(|share| share.target == *candidate.id).map(|share| share.tokens)
        };
        let mut members: Vec<_> = harmless
            .iter()
            .filter_map(|candidate| held(candidate).map(|tokens| (*candidate, tokens)))
            .collect();
        members.sort_by_key(|(_, tokens)| Reverse(*tokens));
        let others = harmless.iter().filter(|candidate| held(candidate).is_none());
        let missing = size.checked_sub(members.len())?;
        members.extend(others.map(|candidate| (*candidate, 0)).take(missing));
        Some(members)
    }

    fn choice(&self, members: &[(&Candidate<'_>, Tokens)], part: f64) -> Choice {
        let (first, held) = members[0];
        // The first engine reads its part anyway; it stands among the helpers if it holds a lease.
        let helpers = members.iter().skip(usize::from(held == 0));
        let own = first.helper(held);
        Choice {
            target: own.target,
            address: own.address,
            load: first.load,
            helpers: helpers.map(|(candidate, tokens)| candidate.helper(*tokens)).collect(),
            read_ms: part,
            candidates: self.candidates.len(),
        }
    }
}
