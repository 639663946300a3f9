//! The router of an entry.

use super::{candidate::Candidate, policy::PolicyKind};
use crate::cost::Cost;

/// Settings of a router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouterSettings {
    /// How candidates are compared.
    pub policy: PolicyKind,
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

    /// Chooses among `candidates`; `draw` is a random number.
    pub fn choose<'a>(
        &mut self,
        cost: Cost,
        candidates: &'a [Candidate],
        draw: u64,
    ) -> Option<&'a Candidate> {
        if candidates.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        match self.settings.policy {
            PolicyKind::RoundRobin => candidates.get(self.turn % candidates.len()),
            PolicyKind::LeastLoad => candidates.iter().min_by_key(|c| c.load.running),
            PolicyKind::TwoChoices => two_choices(candidates, draw),
            PolicyKind::ExpectedWait => candidates.iter().min_by_key(|c| expected_wait(cost, c)),
        }
    }
}

fn two_choices(candidates: &[Candidate], draw: u64) -> Option<&Candidate> {
    let count = candidates.len() as u64;
    let first = candidates.get((draw % count) as usize)?;
    let second = candidates.get(((draw / count) % count) as usize)?;
    Some(if second.load.running < first.load.running { second } else { first })
}

fn expected_wait(cost: Cost, candidate: &Candidate) -> (u64, u32) {
    let rate = candidate.load.prefill_rate.max(1);
    let queued = candidate.load.prefill.max(candidate.prefill);
    let fresh = cost.prompt.saturating_sub(candidate.cached);
    ((queued + fresh) * 1_000 / rate, candidate.load.running.max(candidate.inflight))
}
