//! State of one target: its list entry, its requests in flight and its health.

use super::{
    Health, Member, MemberState, TargetLoad, load::InFlight, observed::Observation, pace::Pace,
};
use crate::{
    ids::TargetId,
    limits::{StartBound, StartWindow},
    routes::Service,
};
use std::time::{Duration, Instant};
use twox_hash::XxHash64;

/// State that this entry keeps for a target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) member: Member,
    /// Hash of the identifier: a sort key that is the same at all entries and mixes the zones.
    pub(super) order_key: u64,
    /// Time until which the target is usable although it is missing from the list.
    pub(super) missing_until: Option<Instant>,
    /// Time until which the target gets no requests, as its record may be older than its departure.
    pub(super) withheld_until: Option<Instant>,
    /// Work that this entry has in flight at the target.
    pub(super) in_flight: InFlight,
    pub(super) health: Health,
    /// Requests that this entry sent to the target in the last second.
    pub(super) recent_starts: StartWindow,
    /// Time at which the target last sent any bytes to this entry.
    pub(super) last_activity: Option<Instant>,
    /// Load that the target last reported in a response.
    pub(super) observation: Option<Observation>,
    pub(super) pace: Pace,
}

impl Target {
    pub(super) fn new(member: Member) -> Self {
        let in_flight = InFlight::default();
        let (health, recent_starts) = (Health::default(), StartWindow::default());
        let order_key = XxHash64::oneshot(0, member.id.as_bytes());
        Self {
            member,
            order_key,
            missing_until: None,
            withheld_until: None,
            in_flight,
            health,
            recent_starts,
            last_activity: None,
            observation: None,
            pace: Pace::default(),
        }
    }

    /// Replaces the list entry. A changed start time or address means that the target has
    /// restarted, which resets what is known of its run.
    pub(super) fn update_member(&mut self, member: &Member) {
        if self.member.started_at != member.started_at || self.member.address != member.address {
            self.health = Health::default();
            self.observation = None;
            self.pace = Pace::default();
        }
        self.member = member.clone();
        self.missing_until = None;
    }

    /// Returns whether the list says at `now` that the target accepts requests.
    pub(super) fn is_listed_ready(&self, now: Instant) -> bool {
        self.member.state == MemberState::Ready
            && (self.missing_until.is_none() || self.is_in_grace(now))
            && self.withheld_until.is_none_or(|until| now >= until)
    }

    /// Returns the factor by which work takes longer at the target at `now`, at least 1.
    pub(super) fn slowness(&self, now: Instant) -> f64 {
        self.pace.slowness(self.in_flight.is_empty(), now)
    }

    /// Returns whether a target that is missing from the list is still within the grace period.
    pub(super) fn is_in_grace(&self, now: Instant) -> bool {
        self.missing_until.is_some_and(|until| now < until)
    }

    /// Returns whether the state of a target that is not on the list can be removed.
    pub(super) fn is_removable(&self, now: Instant) -> bool {
        !self.is_in_grace(now) && self.in_flight.is_empty()
    }

    /// Returns whether one more request stays within this entry's share of the rate of a cold
    /// target. Every target is treated as cold, since it can become cold before any entry notices.
    pub(super) fn allows_start(
        &self,
        service: &Service,
        bound: &StartBound,
        entries: usize,
        now: Instant,
    ) -> bool {
        let rate = service.cold_rate;
        rate <= 0.0 || self.recent_starts.allows(bound.share(rate, entries), now)
    }
}

/// A target that could serve a request, with its total load.
pub(super) struct Candidate<'a> {
    pub(super) id: &'a TargetId,
    pub(super) target: &'a Target,
    pub(super) load: TargetLoad,
    /// Whether the target was not tried yet, is not skipped for its back-off or for the suspicion of
    /// its zone, wants requests, and may get another one within its start rate and its limit.
    pub(super) available: bool,
    /// Whether the target limits its requests, so that it does not help with other ones.
    pub(super) limited: bool,
    /// Time for which the target wants no requests, or has none left of its limit for long.
    pub(super) pause: Option<Duration>,
    /// Factor by which work takes longer at the target than the engine model says, at least 1.
    pub(super) slowness: f64,
}

impl Candidate<'_> {
    /// Returns a number that is different for each `draw`, and orders candidates at random.
    pub(super) fn draw(&self, draw: u64) -> u64 {
        XxHash64::oneshot(draw, &self.target.order_key.to_le_bytes())
    }
}
