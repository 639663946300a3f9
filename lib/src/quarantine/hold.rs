//! Life cycle of a quarantine as a typestate.
//!
//! A hold is closed, then on trial, and closed again for longer if a trial request crashes its
//! target. An answer to a trial request ends the hold.

use super::{FeatureSet, Version};
use std::time::{Duration, Instant};

/// Duration of the first hold. Parts that were held wrongly are out of use for this time, and
/// features that crash targets cost one more of them after it.
const FIRST_DURATION: Duration = Duration::from_secs(600);

/// Number of times by which the duration doubles at most.
const MAX_DOUBLINGS: u32 = 4;

/// Share of the duration by which the trials of the entries are spread, so that the others learn of
/// a crash before they try as well.
const SPREAD_SHARE: f64 = 0.2;

/// Time after which a trial request without any outcome is followed by another.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason why a request must not be sent: it has features that are quarantined.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("requests with {features:x?} crash targets; they are quarantined for {remaining:?}")]
pub struct Refusal {
    /// Quarantined features.
    pub features: FeatureSet,
    /// Time after which a request with these features may be sent again.
    pub remaining: Duration,
}

/// State of a hold in which no request with the features is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Closed {
    /// Time at which this entry begins trials.
    ends_at: Instant,
}

/// State of a hold in which single requests are sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct OnTrial {
    /// Time until which the outcome of the last trial request is awaited.
    pending_until: Option<Instant>,
}

/// Quarantine of the requests that have certain features.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold<S> {
    pub(super) since: Instant,
    /// How often the features have been held, this time included.
    pub(super) spell: u32,
    pub(super) version: Version,
    state: S,
}

impl Hold<Closed> {
    /// Returns a hold that began at `since`. `spread` is the position of this entry in the order of
    /// trials, from 0 to 1.
    pub(super) fn new(since: Instant, spell: u32, spread: f64, version: Version) -> Self {
        let doublings = spell.saturating_sub(1).min(MAX_DOUBLINGS);
        let duration = FIRST_DURATION * 2_u32.pow(doublings);
        let ends_at = since + duration.mul_f64(1.0 + SPREAD_SHARE * spread);
        Self { since, spell, version, state: Closed { ends_at } }
    }

    pub(super) fn remaining(&self, now: Instant) -> Duration {
        self.state.ends_at.saturating_duration_since(now)
    }

    /// Begins the trials of the features.
    pub(super) fn begin_trials(self) -> Hold<OnTrial> {
        let Self { since, spell, version, state: _ } = self;
        Hold { since, spell, version, state: OnTrial { pending_until: None } }
    }
}

impl Hold<OnTrial> {
    /// Returns the time until a trial request may be sent.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        let until = self.state.pending_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that a trial request is sent.
    pub(super) fn begin_trial(&mut self, now: Instant) {
        self.state.pending_until = Some(now + TRIAL_TIMEOUT);
    }
}
