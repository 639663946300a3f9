//! The router of an entry.

use super::{candidate::Candidate, group::mix, policy::PolicyKind, urgency::Need};
use crate::{
    admission::{QueueSettings, short_prompt_reserve},
    cost::{Cost, LengthClass},
    ids::ZoneId,
    outcome::{Reason, Refusal},
};
use std::time::Duration;

/// Cost of a target in another zone: a round trip between zones with some variation.
const ZONE_COST: Duration = Duration::from_millis(3);

/// Cost of each request that runs at a target, since it slows the decoding of the others.
const RUNNING_COST: Duration = Duration::from_micros(100);

/// Time between two tokens that the memory over time of a request is estimated with.
const STEP: Duration = Duration::from_millis(10);

/// Weight of prefill that the engine should serve later than a prompt.
///
/// It is not 0, since engines finish the part that they are at, and some keep the order of arrival.
const BEHIND_WEIGHT: f64 = 0.25;

/// Settings of a router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouterSettings {
    /// How candidates are compared.
    pub policy: PolicyKind,
    /// Zone of the entry.
    pub zone: ZoneId,
    /// Entries that share the targets.
    pub entries: u32,
    /// Bounds on the prefill that waits at an engine, as agents apply them.
    pub queue: QueueSettings,
}

/// What to do with a piece of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision<'a> {
    /// Send it to this candidate.
    Send(&'a Candidate),
    /// No candidate has room at the moment.
    Wait,
    /// No candidate can be in time.
    Refuse(Refusal),
}

/// Chooses targets for the work of one entry.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    turn: usize,
}

impl Router {
    /// Returns a router with the given settings.
    pub fn new(settings: RouterSettings) -> Self {
        Self { settings, turn: 0 }
    }

    /// Takes over what a configuration says.
    pub fn configure(&mut self, entries: usize, long_share: f64) {
        self.settings.entries = entries as u32;
        self.settings.queue.long_share = long_share;
    }

    /// Decides on a piece of work; `draw` is a random number.
    pub fn decide<'a>(
        &mut self,
        need: Need,
        candidates: &'a [Candidate],
        draw: u64,
    ) -> Decision<'a> {
        if candidates.is_empty() {
            return Decision::Wait;
        }
        self.turn = self.turn.wrapping_add(1);
        let chosen = match self.settings.policy {
            PolicyKind::RoundRobin => candidates.get(self.turn % candidates.len()),
            PolicyKind::LeastLoad => candidates.iter().min_by_key(|c| c.load.running),
            PolicyKind::TwoChoices => two_choices(candidates, draw),
            PolicyKind::ExpectedWait => return self.expected_wait(need, candidates, draw),
        };
        chosen.map_or(Decision::Wait, Decision::Send)
    }

    fn expected_wait<'a>(
        &self,
        need: Need,
        candidates: &'a [Candidate],
        draw: u64,
    ) -> Decision<'a> {
        if let Some(refusal) = unreachable(need, candidates) {
            return Decision::Refuse(refusal);
        }
        let warm = candidates.iter().map(|candidate| candidate.load.cap).max().unwrap_or(0);
        let fitting = candidates.iter().enumerate().filter(|(index, candidate)| {
            let draw = mix(draw.wrapping_add(*index as u64));
            self.fits(need, candidate) && self.has_slot(candidate, warm, draw)
        });
        let scored = fitting.map(|(_, candidate)| (self.score(need, candidate), candidate));
        let best = scored.min_by(|(a, _), (b, _)| a.total_cmp(b));
        match best {
            Some((_, candidate)) => Decision::Send(candidate),
            None => insist(need, candidates),
        }
    }

    /// Returns whether a target probably has room, by the rules of its agent.
    fn fits(&self, need: Need, candidate: &Candidate) -> bool {
        let class = need.cost.class();
        let misplaced = class == LengthClass::Long && !candidate.takes_long && !need.is_aged();
        if candidate.refused || misplaced {
            return false;
        }
        let kept = match class {
            LengthClass::Short => 0,
            _ => short_prompt_reserve(candidate.load.kv_total),
        };
        let queue = candidate.queue();
        need.cost.kv().saturating_add(kept) <= candidate.free()
            && self.settings.queue.accepts(need.cost, queue, candidate.load.prefill_rate)
    }

    /// Returns whether this entry may use a slot of the target.
    ///
    /// The few slots of a target that warms up belong to all entries. Each of them uses its share,
    /// by chance if the share is below one, or they would all send to a zone that returns at once.
    fn has_slot(&self, candidate: &Candidate, warm: u32, draw: u64) -> bool {
        let open = u64::from(candidate.load.cap.saturating_sub(candidate.running()));
        let entries = u64::from(self.settings.entries.max(1));
        if open == 0 || candidate.load.cap >= warm {
            return open > 0;
        }
        open >= entries || draw % entries < open
    }

    /// Returns the expected time to the first token, in seconds, with small costs for a target in
    /// another zone and for the memory and the batch that the request takes from others.
    fn score(&self, need: Need, candidate: &Candidate) -> f64 {
        let wait = wait(need.cost, candidate);
        let memory = need.cost.memory_time(wait, STEP) / candidate.free().max(1) as f64;
        let away = candidate.zone != self.settings.zone;
        let zone = if away { ZONE_COST } else { Duration::ZERO };
        let others = (RUNNING_COST * candidate.running()).as_secs_f64();
        wait.as_secs_f64() + memory + zone.as_secs_f64() + others
    }
}

/// Returns the expected time to the first token.
///
/// A cached prefix saves its prefill, so that it attracts prompts until the queue of the target
/// costs them more than that.
fn wait(cost: Cost, candidate: &Candidate) -> Duration {
    let queue = candidate.queue();
    let ahead = queue.tokens_ahead(cost.class());
    let behind = ((queue.total() - ahead) as f64 * BEHIND_WEIGHT) as u64;
    let fresh = cost.prompt.saturating_sub(candidate.cached);
    Cost::prefill_time(ahead + behind + fresh, candidate.load.prefill_rate)
}

/// Refuses work that no engine can finish in time, even one without a queue.
fn unreachable(need: Need, candidates: &[Candidate]) -> Option<Refusal> {
    if need.cost.prompt == 0 {
        return None;
    }
    let fastest = candidates.iter().map(|candidate| {
        let fresh = need.cost.prompt.saturating_sub(candidate.cached);
        Cost::prefill_time(fresh, candidate.load.prefill_rate)
    });
    let too_late = fastest.min().is_some_and(|shortest| shortest > need.remaining);
    too_late.then(|| Refusal::not_run(Reason::DeadlineUnreachable))
}

/// Sends an aged request to a target without room, so that it gets the next turn there.
///
/// It is the same target each time, as long as the same ones are in service.
fn insist(need: Need, candidates: &[Candidate]) -> Decision<'_> {
    let candidate = candidates.iter().find(|candidate| candidate.takes_long);
    match candidate {
        Some(candidate) if need.is_aged() && !candidate.refused => Decision::Send(candidate),
        _ => Decision::Wait,
    }
}

fn two_choices(candidates: &[Candidate], draw: u64) -> Option<&Candidate> {
    let count = candidates.len() as u64;
    let first = candidates.get((draw % count) as usize)?;
    let second = candidates.get(((draw / count) % count) as usize)?;
    Some(if second.load.running < first.load.running { second } else { first })
}
