//! Selection of engines for a request that does not fit in the KV cache of one engine.
//!
//! Several engines prefill parts of the prompt, and some of them also hold a part of its KV cache
//! until the answer ends.

use super::{Choice, Helper, RequestProfile, selection::MAX_HELPERS, target::Candidate};
use crate::{ids::Tokens, routes::EngineModel};
use std::cmp::Reverse;

/// Share of the latency objective that prefill may take. The engines are idle, so a long prefill
/// delays no other request, and using fewer engines leaves more for other requests.
const PREFILL_SHARE: f64 = 0.6;

/// Share of the engines that must remain idle. A prompt that needs several engines takes as much
/// engine time as several other requests, which together are worth more, so it uses only spare
/// engines.
const IDLE_ENGINE_RESERVE: f64 = 0.1;

/// Share of an engine's memory that stays free for requests that arrive during the prefill.
const SPARE_MEMORY_SHARE: f64 = 0.1;

/// Returns the engines for a prompt, or `None` if too few engines are idle or have enough free
/// memory.
pub(super) fn choose(
    candidates: Vec<Candidate<'_>>,
    engine: &EngineModel,
    profile: &RequestProfile,
) -> Option<Choice> {
    let count = candidates.len();
    let mut idle = candidates;
    idle.retain(|candidate| candidate.available && !candidate.limited && candidate.load.is_idle());
    let prefill_ms = engine.prefill_ms(profile.prompt_tokens);
    let max_part_ms = PREFILL_SHARE * profile.objective.as_secs_f64() * 1e3;
    let parts = ((prefill_ms / max_part_ms).ceil() as usize).clamp(2, MAX_HELPERS + 1);
    if (idle.len() as f64) < parts as f64 + IDLE_ENGINE_RESERVE * count as f64 {
        return None;
    }
    idle.sort_by_key(|candidate| {
        (Reverse(free_memory(candidate, engine)), candidate.draw(profile.draw))
    });
    idle.truncate(parts);
    let (holders, share) =
        split_memory(&idle, engine, profile.prompt_tokens + profile.output_tokens)?;
    let chosen = idle.remove(0);
    let helper = |(index, candidate): (usize, &Candidate<'_>)| Helper {
        target: candidate.id.clone(),
        address: candidate.target.member.address,
        held_tokens: if index < holders { share } else { 0 },
    };
    Some(Choice {
        target: chosen.id.clone(),
        address: chosen.target.member.address,
        started_at: chosen.target.member.started_at,
        load: chosen.load,
        helpers: idle.iter().enumerate().map(helper).collect(),
        prefill_ms: prefill_ms / parts as f64,
        candidates: count,
    })
}

/// Returns the number of engines besides the first that hold a share of the `needed` tokens, and
/// the size of a share, or `None` if the engines have too little memory in total.
fn split_memory(
    engines: &[Candidate<'_>],
    engine: &EngineModel,
    needed: Tokens,
) -> Option<(usize, Tokens)> {
    let spare = (SPARE_MEMORY_SHARE * engine.kv_capacity as f64) as Tokens;
    let shares = (1..engines.len()).map(|count| (count, needed.div_ceil(count as u64 + 1)));
    shares.into_iter().find(|(count, share)| {
        let last = engines.get(*count).map(|candidate| free_memory(candidate, engine));
        last.is_some_and(|free_memory| share + spare <= free_memory)
    })
}

fn free_memory(candidate: &Candidate<'_>, engine: &EngineModel) -> Tokens {
    engine.kv_capacity.saturating_sub(candidate.load.kv_tokens)
}
