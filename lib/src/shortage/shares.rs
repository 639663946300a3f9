//! Prefill that an entry recently sent for each team.

use crate::ids::TeamId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after which a request counts half: long enough that a few long prompts of a team count
/// against each other, short enough that a team which has stopped sending is soon served first.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Prefill time of one request at least, which stands for its slot.
const MIN_PREFILL: Duration = Duration::from_millis(1);

/// Sum below which a team no longer counts as active, in ms.
const MIN_ACTIVE_MS: f64 = 1.0;

/// Factor on its fair share from which a team has more than its share. Small differences come from
/// requests of different sizes.
const EXCESS_FACTOR: f64 = 1.5;

/// What an entry recently sent for one team. Teams with less go first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TeamUsage {
    /// Whether this is more than the fair share of the team.
    pub over_share: bool,
    /// Prefill time, with old requests decaying.
    pub prefill: Duration,
}

/// Prefill time that an entry sent for each team in the last seconds, with old requests decaying.
#[derive(Clone, Debug, Default)]
pub struct TeamShares {
    /// Prefill in ms at the time of `updated_at`.
    used: BTreeMap<TeamId, f64>,
    updated_at: Option<Instant>,
}

impl TeamShares {
    /// Records that a request of `team` with `prefill` was sent.
    pub fn record(&mut self, team: &str, prefill: Duration, now: Instant) {
        let factor = self.decay(now);
        self.updated_at = Some(now);
        self.used.values_mut().for_each(|used| *used *= factor);
        self.used.retain(|_, used| *used >= MIN_ACTIVE_MS / 2.0);
        let prefill_ms = prefill.max(MIN_PREFILL).as_secs_f64() * 1e3;
        match self.used.get_mut(team) {
            Some(used) => *used += prefill_ms,
            None => drop(self.used.insert(team.to_owned(), prefill_ms)),
        }
    }

    /// Returns what each team has used at `now`; teams that are missing have used nothing.
    pub fn usage(&self, now: Instant) -> BTreeMap<&str, TeamUsage> {
        let factor = self.decay(now);
        let active = self.used.values().filter(|used| **used * factor >= MIN_ACTIVE_MS);
        let (count, total) =
            active.fold((0, 0.0), |(count, total), used| (count + 1, total + used * factor));
        let max_used = EXCESS_FACTOR * total / f64::from(count.max(1));
        let usage = |used_ms: f64| TeamUsage {
            over_share: count > 1 && used_ms > max_used,
            prefill: Duration::from_secs_f64(used_ms / 1e3),
        };
        self.used.iter().map(|(team, used)| (&**team, usage(used * factor))).collect()
    }

    /// Returns the factor by which the sums have decayed at `now`.
    fn decay(&self, now: Instant) -> f64 {
        let age = self.updated_at.map(|at| now.saturating_duration_since(at)).unwrap_or_default();
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
