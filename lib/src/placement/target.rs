//! One target: its entry in the list, its work in flight and its history.

use super::{Health, Member, TargetLoad, load::InFlight};
use crate::{
    ids::TargetId,
    limits::{StartBound, StartWindow},
    routes::Service,
};
use std::time::{Duration, Instant};
use twox_hash::XxHash64;

/// Time that a target is kept after it lapsed beside an outage of the list, which shows it again
/// about two seconds after its return if it lives.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// A target with what this entry knows of it.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) member: Member,
    /// Place in an order that all entries share and that mixes the zones.
    pub(super) order: u64,
    pub(super) lapsed: Option<Instant>,
    pub(super) own: InFlight,
    pub(super) health: Health,
    pub(super) starts: StartWindow,
    pub(super) heard: Option<Instant>,
}

impl Target {
    pub(super) fn new(member: Member) -> Self {
        let own = InFlight::default();
        let (health, starts) = (Health::default(), StartWindow::default());
        let order = XxHash64::oneshot(0, member.id.as_bytes());
        Self { member, order, lapsed: None, own, health, starts, heard: None }
    }

    /// Takes over a newer entry of the list; another life starts without a history.
    pub(super) fn renew(&mut self, member: &Member) {
        if self.member.born != member.born || self.member.address != member.address {
            self.health = Health::default();
        }
        self.member = member.clone();
        self.lapsed = None;
    }

    /// Returns whether a target that lapsed from the list is still taken to live.
    pub(super) fn is_kept(&self, now: Instant) -> bool {
        self.lapsed.is_some_and(|at| now.saturating_duration_since(at) < LAPSE_GRACE)
    }

    /// Returns whether a target that is not on the list can be forgotten.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        !self.is_kept(now) && self.own.is_empty()
    }

    /// Returns whether one more start keeps within this entry's share of what a cold target
    /// takes. Every target counts as cold, since one can become cold before anyone knows.
    pub(super) fn may_start(
        &self,
        service: &Service,
        bound: &StartBound,
        entries: usize,
        now: Instant,
    ) -> bool {
        let rate = service.cold_rate;
        rate <= 0.0 || self.starts.allows(bound.share(rate, entries), now)
    }
}

/// A target of the service of a request.
pub(super) struct Candidate<'a> {
    pub(super) id: &'a TargetId,
    pub(super) target: &'a Target,
    pub(super) load: TargetLoad,
    /// Whether the request may be sent there now.
    pub(super) open: bool,
}
