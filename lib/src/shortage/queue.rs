//! Order of the requests that wait for capacity at one entry.

use super::{TeamShares, TeamUsage};
use crate::ids::{RouteId, ServiceId, TeamId};
use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Number of a place in the queue, unique within one entry.
pub type TicketId = u64;

/// Maximum number of requests that wait at one entry, with bodies of a few KB each.
const MAX_WAITING: usize = 512;

/// Maximum number of requests of one team that wait, so that a team can't take all places.
const MAX_WAITING_PER_TEAM: usize = MAX_WAITING / 2;

/// Requests that need the same kind of capacity and are therefore served one after the other. If
/// the first can't be placed, the others wait: otherwise small ones would overtake it forever.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lane {
    /// Service whose engines serve the requests.
    pub service: ServiceId,
    /// Route of the requests, which stands for their kind.
    pub route: RouteId,
    /// Whether the requests need the memory of several engines.
    pub oversized: bool,
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Requests with which it competes directly.
    pub lane: Lane,
    /// Team of the caller; empty without one.
    pub team: TeamId,
    /// Priority, where 0 is the most urgent.
    pub priority: u8,
    /// Whether the caller was refused before and has returned.
    pub returned: bool,
    /// Time by which it must be first, or else the caller loses something that it can still have.
    pub loss_at: Instant,
}

/// Place of a request in the queue. It is given up when the request is sent or refused.
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket(TicketId);

impl Ticket {
    /// Returns the number of the place.
    pub fn id(&self) -> TicketId {
        self.0
    }
}

/// The queue has no place for another request of the team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue has no place for another request of the team")]
pub struct QueueFull;

/// Position in the order, lowest first. The fields are compared in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    /// Whether the team has used more than its share.
    over_share: bool,
    returned: Reverse<bool>,
    /// Prefill that was recently sent for the team.
    prefill: Duration,
    loss_at: Instant,
    ticket: TicketId,
}

/// Requests that wait for capacity at one entry, and what it has recently sent for each team.
///
/// The order is by priority. Among equals, teams that have used more than their share are last; then
/// callers that have returned are first, then the team that has used least, then the request whose
/// caller loses something first. The latter serves a large prompt before a small one that arrived at
/// the same time, since it has to begin earlier and waits longer for room.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<TicketId, Waiter>,
    shares: TeamShares,
    last_id: TicketId,
}

impl Queue {
    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if too many requests wait, in total or of the team.
    pub fn enter(&mut self, waiter: Waiter) -> Result<Ticket, QueueFull> {
        let of_team = self.waiting.values().filter(|other| other.team == waiter.team).count();
        if self.waiting.len() >= MAX_WAITING || of_team >= MAX_WAITING_PER_TEAM {
            return Err(QueueFull);
        }
        self.last_id += 1;
        self.waiting.insert(self.last_id, waiter);
        Ok(Ticket(self.last_id))
    }

    /// Sets the time by which the request of `ticket` must be first.
    pub fn update_loss(&mut self, ticket: &Ticket, loss_at: Instant) {
        if let Some(waiter) = self.waiting.get_mut(&ticket.0) {
            waiter.loss_at = loss_at;
        }
    }

    /// Removes a request that was sent or refused, or whose caller has left.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket.0);
    }

    /// Records that a request of `team` with `prefill` was sent, whether it has waited or not.
    pub fn record_sent(&mut self, team: &str, prefill: Duration, now: Instant) {
        self.shares.record(team, prefill, now);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the requests that may be sent at `now` if an engine takes them, the most urgent one
    /// first: the first of each lane, unless a more urgent one waits for the same service.
    pub fn next(&self, now: Instant) -> Vec<TicketId> {
        let usage = self.shares.usage(now);
        let mut first: BTreeMap<&Lane, (Rank, TicketId)> = BTreeMap::new();
        for (id, waiter) in &self.waiting {
            let rank = rank(*id, waiter, &usage);
            let entry = first.entry(&waiter.lane).or_insert((rank, *id));
            if rank < entry.0 {
                *entry = (rank, *id);
            }
        }
        let mut next: Vec<(Rank, TicketId)> = first
            .iter()
            .filter(|(lane, (rank, _))| !self.is_preceded(lane, rank.priority))
            .map(|(_, first)| *first)
            .collect();
        next.sort();
        next.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns whether the request with `ticket` may be sent at `now` if an engine takes it.
    pub fn is_next(&self, ticket: &Ticket, now: Instant) -> bool {
        self.next(now).contains(&ticket.0)
    }

    /// Returns whether a request that has just arrived must wait because others go before it.
    pub fn goes_before(&self, waiter: &Waiter, now: Instant) -> bool {
        let usage = self.shares.usage(now);
        let own = rank(TicketId::MAX, waiter, &usage);
        let mut lane = self.waiting.iter().filter(|(_, other)| other.lane == waiter.lane);
        self.is_preceded(&waiter.lane, waiter.priority)
            || lane.any(|(id, other)| rank(*id, other, &usage) < own)
    }

    /// Returns whether a more urgent request waits in another lane of the same service. Those that
    /// need the memory of several engines hold up no others, since they wait for idle engines.
    fn is_preceded(&self, lane: &Lane, priority: u8) -> bool {
        self.waiting.values().any(|other| {
            other.priority < priority
                && other.lane != *lane
                && other.lane.service == lane.service
                && !other.lane.oversized
        })
    }
}

fn rank(ticket: TicketId, waiter: &Waiter, usage: &BTreeMap<&str, TeamUsage>) -> Rank {
    let TeamUsage { over_share, prefill } = usage.get(&*waiter.team).copied().unwrap_or_default();
    Rank {
        priority: waiter.priority,
        over_share,
        returned: Reverse(waiter.returned),
        prefill,
        loss_at: waiter.loss_at,
        ticket,
    }
}
