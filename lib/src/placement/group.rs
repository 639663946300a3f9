//! Choice of the engines that read a long prompt together.
//!
//! A part that is short enough disturbs no stream beside it, and an engine without streams may
//! read for as long as it takes.

use super::{
    cost::Need,
    load::TargetLoad,
    pool::{Candidate, Choice},
};
use crate::routes::EngineModel;

/// Most engines that read one prompt: the first and 16 helpers, by the platform's protocol.
const MAX_ENGINES: usize = 17;

/// Smallest part of a prompt that another engine reads, in ms; below that the wait for its pass
/// costs more than the part.
const SMALLEST_PART_MS: f64 = 40.0;

/// Cost of each engine more, in ms: it waits for its pass and can fail.
const ENGINE_COST_MS: f64 = 8.0;

/// Cost of an engine without streams as the first one, in ms: one that has such streams already
/// is better, since idle engines read without disturbing anyone.
const IDLE_COST_MS: f64 = 150.0;

/// The choice of engines for one long prompt.
pub(super) struct Group<'a> {
    /// Candidates: those without streams first, then in ascending order of what waits there.
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
        candidates.sort_by(|a, b| {
            let busy = (a.load.requests > 0).cmp(&(b.load.requests > 0));
            busy.then(a.load.read_ms.total_cmp(&b.load.read_ms))
        });
        Self { candidates, engine, need, read_ms: engine.read_ms(need.prompt) }
    }

    /// Returns the fewest engines that keep the objective well without harm to others, else those
    /// with the earliest first event; none if no number of engines is without harm.
    pub(super) fn choose(&self) -> Option<Choice> {
        let most = (self.read_ms / SMALLEST_PART_MS).max(1.0) as usize;
        let sizes = 1..=most.min(MAX_ENGINES).min(self.candidates.len());
        let mut best: Option<(f64, Choice)> = None;
        for (cost, choice) in sizes.filter_map(|size| self.of_size(size)) {
            if self.need.is_early(cost, choice.read_ms) {
                return Some(choice);
            }
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns the choice of `size` engines and its cost in ms.
    fn of_size(&self, size: usize) -> Option<(f64, Choice)> {
        let part = self.read_ms / size as f64;
        let harmless =
            |candidate: &&&Candidate<'_>| self.need.is_harmless(&candidate.load, self.engine, part);
        let harmless: Vec<&Candidate<'_>> =
            self.candidates.iter().filter(harmless).copied().collect();
        let with_room =
            harmless.iter().filter(|candidate| self.need.has_room(&candidate.load, self.engine));
        let first = with_room.min_by(|a, b| first_cost(&a.load).total_cmp(&first_cost(&b.load)))?;
        let others = harmless.iter().filter(|candidate| candidate.id != first.id);
        let helpers: Vec<_> = others.take(size - 1).collect();
        if helpers.len() + 1 < size {
            return None;
        }
        let waits = helpers.iter().map(|candidate| candidate.load.read_ms);
        let wait = f64::from(waits.fold(first.load.read_ms, f32::max));
        let choice = Choice {
            target: first.id.clone(),
            address: first.address(),
            load: first.load,
            helpers: helpers.iter().map(|candidate| candidate.helper()).collect(),
            read_ms: part,
            candidates: self.candidates.len(),
        };
        Some((wait + part + ENGINE_COST_MS * size as f64, choice))
    }
}

fn first_cost(load: &TargetLoad) -> f64 {
    f64::from(load.read_ms) + if load.requests == 0 { IDLE_COST_MS } else { 0.0 }
}
