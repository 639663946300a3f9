//! Routing decisions of an entry.

use super::{candidate::Candidate, group::splitmix64, policy::PolicyKind, urgency::RequestProfile};
use crate::{
    admission::{QueueSettings, short_prompt_reserve},
    cost::{Cost, LengthClass},
    ids::ZoneId,
    outcome::{Reason, Refusal},
};
use std::time::Duration;

/// Score penalty of a target in another zone: a round trip between zones plus jitter.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(3);

/// Score penalty per running request, since each one slows down the decoding of the others.
const RUNNING_PENALTY: Duration = Duration::from_micros(100);

/// Assumed time between two generated tokens, used to estimate the KV cache usage of a request over
/// time.
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);

/// Weight of queued prefill with a lower priority than the prompt.
///
/// It is above 0 because engines finish the chunk that they are processing, and some engines serve
/// prompts in the order of arrival.
const LOWER_PRIORITY_WEIGHT: f64 = 0.25;

/// Settings of a router, partly replaced by each new configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouterSettings {
    /// Policy that selects a candidate.
    pub policy: PolicyKind,
    /// Zone in which the entry runs.
    pub zone: ZoneId,
    /// Number of entries that share the targets.
    pub entries: u32,
    /// Limits on the waiting prefill of an engine, the same as those of the agents.
    pub queue: QueueSettings,
}

/// Result of a routing decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision<'a> {
    /// Send the request to this candidate.
    Send(&'a Candidate),
    /// Retry later, since no candidate has capacity now.
    Wait,
    /// Refuse the request, since no candidate can meet its time limit.
    Refuse(Refusal),
}

/// Selects targets for the requests of one entry.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    rotation: usize,
}

impl Router {
    /// Returns a router at the start of its rotation.
    pub fn new(settings: RouterSettings) -> Self {
        Self { settings, rotation: 0 }
    }

    /// Applies the number of entries and the `long_share` of a configuration.
    pub fn configure(&mut self, entries: usize, long_share: f64) {
        self.settings.entries = entries as u32;
        self.settings.queue.long_share = long_share;
    }

    /// Decides where to send a request.
    ///
    /// `draw` is a random number.
    pub fn decide<'a>(
        &mut self,
        profile: RequestProfile,
        candidates: &'a [Candidate],
        draw: u64,
    ) -> Decision<'a> {
        if candidates.is_empty() {
            return Decision::Wait;
        }
        self.rotation = self.rotation.wrapping_add(1);
        let chosen = match self.settings.policy {
            PolicyKind::RoundRobin => candidates.get(self.rotation % candidates.len()),
            PolicyKind::LeastLoad => candidates.iter().min_by_key(|c| c.load.running),
            PolicyKind::TwoChoices => two_choices(candidates, draw),
            PolicyKind::ExpectedWait => return self.decide_by_wait(profile, candidates, draw),
        };
        chosen.map_or(Decision::Wait, Decision::Send)
    }

    fn decide_by_wait<'a>(
        &self,
        profile: RequestProfile,
        candidates: &'a [Candidate],
        draw: u64,
    ) -> Decision<'a> {
        if is_unreachable(profile, candidates) {
            return Decision::Refuse(Refusal::not_run(Reason::DeadlineUnreachable));
        }
        let largest_cap = candidates.iter().map(|candidate| candidate.load.cap).max().unwrap_or(0);
        let fitting = candidates.iter().enumerate().filter(|(index, candidate)| {
            let draw = splitmix64(draw.wrapping_add(*index as u64));
            self.fits(profile, candidate) && self.may_use_slot(candidate, largest_cap, draw)
        });
        let scored = fitting.map(|(_, candidate)| (self.score(profile, candidate), candidate));
        let best = scored.min_by(|(a, _), (b, _)| a.total_cmp(b));
        match best {
            Some((_, candidate)) => Decision::Send(candidate),
            None => decide_without_capacity(profile, candidates),
        }
    }

    /// Returns whether the agent of a target would probably admit the request.
    fn fits(&self, profile: RequestProfile, candidate: &Candidate) -> bool {
        let class = profile.cost.class();
        let unassigned =
            class == LengthClass::Long && !candidate.accepts_long && !profile.is_aged();
        if candidate.refused || unassigned {
            return false;
        }
        let reserved = match class {
            LengthClass::Short => 0,
            _ => short_prompt_reserve(candidate.load.kv_total),
        };
        let queue = candidate.queue();
        profile.cost.kv_tokens().saturating_add(reserved) <= candidate.free_tokens()
            && self.settings.queue.accepts(profile.cost, queue, candidate.load.prefill_rate)
    }

    /// Returns whether this entry may use a slot of the target.
    ///
    /// A target whose cap is below the largest one of the candidates counts as warming up, and all
    /// entries share its few slots. If there are fewer slots than entries, each entry uses one with
    /// a probability equal to its share. Without this, all entries would send to a zone at the same
    /// time when it returns to service.
    fn may_use_slot(&self, candidate: &Candidate, largest_cap: u32, draw: u64) -> bool {
        let free_slots = u64::from(candidate.load.cap.saturating_sub(candidate.running()));
        let entries = u64::from(self.settings.entries.max(1));
        if free_slots == 0 || candidate.load.cap >= largest_cap {
            return free_slots > 0;
        }
        free_slots >= entries || draw % entries < free_slots
    }

    /// Returns the score of a candidate in seconds; the lowest is the best.
    ///
    /// It is the expected time to the first token, plus penalties for another zone, for the KV
    /// cache usage of the request relative to the free KV cache, and for each request running at
    /// the target.
    fn score(&self, profile: RequestProfile, candidate: &Candidate) -> f64 {
        let wait = time_to_first_token(profile.cost, candidate);
        let memory = profile.cost.kv_token_seconds(wait, TOKEN_INTERVAL)
            / candidate.free_tokens().max(1) as f64;
        let is_remote = candidate.zone != self.settings.zone;
        let zone = if is_remote { CROSS_ZONE_PENALTY } else { Duration::ZERO };
        let running = (RUNNING_PENALTY * candidate.running()).as_secs_f64();
        wait.as_secs_f64() + memory + zone.as_secs_f64() + running
    }
}

/// Returns the expected time to the first token.
///
/// A cached prefix needs no prefill, so a target that has it is preferred until its queue takes
/// longer than the prefill that it saves.
fn time_to_first_token(cost: Cost, candidate: &Candidate) -> Duration {
    let queue = candidate.queue();
    let ahead = queue.tokens_ahead(cost.class());
    let behind = ((queue.total() - ahead) as f64 * LOWER_PRIORITY_WEIGHT) as u64;
    let uncached = cost.prompt.saturating_sub(candidate.cached_tokens);
    Cost::prefill_time(ahead + behind + uncached, candidate.load.prefill_rate)
}

/// Returns whether no engine could prefill the prompt within its time limit, even with an empty
/// queue.
pub fn is_unreachable(profile: RequestProfile, candidates: &[Candidate]) -> bool {
    if profile.cost.prompt == 0 {
        return false;
    }
    let prefill_times = candidates.iter().map(|candidate| {
        let uncached = profile.cost.prompt.saturating_sub(candidate.cached_tokens);
        Cost::prefill_time(uncached, candidate.load.prefill_rate)
    });
    prefill_times.min().is_some_and(|shortest| shortest > profile.remaining)
}

/// Decides about a request that fits no candidate.
///
/// An aged request is sent to a target assigned to long prompts, whose agent serves it next; any
/// other request waits. Selects the same target on each retry as long as the set of targets in
/// service is the same.
fn decide_without_capacity(profile: RequestProfile, candidates: &[Candidate]) -> Decision<'_> {
    let candidate = candidates.iter().find(|candidate| candidate.accepts_long);
    match candidate {
        Some(candidate) if profile.is_aged() && !candidate.refused => Decision::Send(candidate),
        _ => Decision::Wait,
    }
}

fn two_choices(candidates: &[Candidate], draw: u64) -> Option<&Candidate> {
    let count = candidates.len() as u64;
    let first = candidates.get((draw % count) as usize)?;
    let second = candidates.get(((draw / count) % count) as usize)?;
    Some(if second.load.running < first.load.running { second } else { first })
}
