//! Choice of the engines for a prompt that is larger than the memory of one.
//!
//! Some of the engines that read parts of the prompt hold parts of it as well, until the answer
//! ends.

use super::{Choice, Helper, Need, pool::MAX_HELPERS, target::Candidate};
use crate::{ids::Tokens, routes::EngineModel};
use std::cmp::Reverse;

/// Part of the objective that reading may take. The engines are idle, so that a long part disturbs
/// no one, and the fewer they are the more are left for others.
const READING_PART: f64 = 0.6;

/// Part of the engines that stays idle. Such a prompt takes as much time as several others of the
/// same credit, so it uses only what they leave.
const IDLE_RESERVE: f64 = 0.1;

/// Part of an engine's memory that stays free for the requests that it gets meanwhile.
const SPARE_PART: f64 = 0.1;

/// Returns the engines for a prompt, or none if too few are idle or have the memory.
pub(super) fn choose(
    candidates: Vec<Candidate<'_>>,
    engine: &EngineModel,
    need: &Need,
) -> Option<Choice> {
    let count = candidates.len();
    let mut idle = candidates;
    idle.retain(|candidate| candidate.open && candidate.load.is_idle());
    let read_ms = engine.read_ms(need.prompt);
    let bound = READING_PART * need.objective.as_secs_f64() * 1e3;
    let parts = ((read_ms / bound).ceil() as usize).clamp(2, MAX_HELPERS + 1);
    if (idle.len() as f64) < parts as f64 + IDLE_RESERVE * count as f64 {
        return None;
    }
    idle.sort_by_key(|candidate| (Reverse(free(candidate, engine)), candidate.target.order));
    idle.truncate(parts);
    let (holders, share) = holders(&idle, engine, need.prompt + need.output)?;
    let first = idle.remove(0);
    let helper = |(number, candidate): (usize, &Candidate<'_>)| Helper {
        target: candidate.id.clone(),
        address: candidate.target.member.address,
        holds: if number < holders { share } else { 0 },
    };
    Some(Choice {
        target: first.id.clone(),
        address: first.target.member.address,
        load: first.load,
        helpers: idle.iter().enumerate().map(helper).collect(),
        read_ms: read_ms / parts as f64,
        candidates: count,
    })
}

/// Returns how many of the engines after the first hold a share of `needed` tokens, and the share;
/// none if all of them together have too little memory.
fn holders(
    engines: &[Candidate<'_>],
    engine: &EngineModel,
    needed: Tokens,
) -> Option<(usize, Tokens)> {
    let spare = (SPARE_PART * engine.memory as f64) as Tokens;
    let shares = (1..engines.len()).map(|holders| (holders, needed.div_ceil(holders as u64 + 1)));
    shares.into_iter().find(|(holders, share)| {
        let last = engines.get(*holders).map(|candidate| free(candidate, engine));
        last.is_some_and(|free| share + spare <= free)
    })
}

fn free(candidate: &Candidate<'_>, engine: &EngineModel) -> Tokens {
    engine.memory.saturating_sub(candidate.load.memory)
}
