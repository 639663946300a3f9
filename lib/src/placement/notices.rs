//! What targets say in their responses about further requests of this entry.
//!
//! A notice belongs to one run of a target. It outlives the target's place in the list, so that a
//! copy of the list that still shows the target as ready, or a record that lapses and returns, does
//! not undo it.

use crate::ids::TargetId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime},
};

/// Time after which a notice is forgotten, far above the time that a leaving target takes to end.
const NOTICE_LIFETIME: Duration = Duration::from_secs(3_600);

/// Maximum number of targets whose notices are kept; the oldest are forgotten first.
const MAX_NOTICES: usize = 4_096;

/// What a response says about further requests to its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target is shutting down and should get no new requests.
    pub leaving: bool,
    /// Time for which the target wants no requests from this entry.
    pub pause: Option<Duration>,
}

/// Effect of a notice, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeEffect {
    /// The target gets no new requests any more.
    Leaving,
    /// The target gets no new requests for this time.
    Paused(Duration),
}

/// Notices of one run of a target.
#[derive(Clone, Copy, Debug)]
struct Received {
    started_at: Option<SystemTime>,
    leaving: bool,
    paused_until: Option<Instant>,
    at: Instant,
}

/// The notices of all targets.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    by_target: BTreeMap<TargetId, Received>,
}

impl Notices {
    /// Records a notice of the run of `target` that began at `started_at`, and returns its effect
    /// if it is a new one. A shorter pause does not end a longer one.
    pub(super) fn record(
        &mut self,
        target: &TargetId,
        started_at: Option<SystemTime>,
        notice: Notice,
        now: Instant,
    ) -> Option<NoticeEffect> {
        if notice == Notice::default() {
            return None;
        }
        self.evict(now);
        let new = Received { started_at, leaving: false, paused_until: None, at: now };
        let received = self.by_target.entry(target.clone()).or_insert(new);
        if received.started_at != started_at {
            *received = new;
        }
        received.at = now;
        let begins_to_leave = notice.leaving && !received.leaving;
        received.leaving |= notice.leaving;
        let was_paused = received.paused_until.is_some_and(|until| now < until);
        let paused_until = notice.pause.map(|pause| now + pause);
        received.paused_until = received.paused_until.max(paused_until);
        match notice.pause {
            _ if begins_to_leave => Some(NoticeEffect::Leaving),
            Some(pause) if !was_paused => Some(NoticeEffect::Paused(pause)),
            _ => None,
        }
    }

    /// Returns whether the run of `target` that began at `started_at` is shutting down.
    pub(super) fn is_leaving(&self, target: &str, started_at: Option<SystemTime>) -> bool {
        self.get(target, started_at).is_some_and(|received| received.leaving)
    }

    /// Returns for how long the run of `target` that began at `started_at` wants no requests.
    pub(super) fn pause(
        &self,
        target: &str,
        started_at: Option<SystemTime>,
        now: Instant,
    ) -> Option<Duration> {
        let until = self.get(target, started_at)?.paused_until?;
        Some(until.saturating_duration_since(now)).filter(|pause| !pause.is_zero())
    }

    fn get(&self, target: &str, started_at: Option<SystemTime>) -> Option<&Received> {
        self.by_target.get(target).filter(|received| received.started_at == started_at)
    }

    fn evict(&mut self, now: Instant) {
        self.by_target
            .retain(|_, received| now.saturating_duration_since(received.at) < NOTICE_LIFETIME);
        if self.by_target.len() < MAX_NOTICES {
            return;
        }
        let oldest = self.by_target.iter().min_by_key(|(_, received)| received.at);
        if let Some(target) = oldest.map(|(target, _)| target.clone()) {
            self.by_target.remove(&target);
        }
    }
}
