//! Builds the messages that entries exchange and applies those received.

use super::protocol::{ExchangeRequest, ExchangeResponse, ReplicaStatus};
use crate::{
    gateway::{Gateway, GatewayState},
    store::StorePart,
};
use fulmarhead_lib::{
    ids::{Revision, TargetId},
    placement::{LoadDelta, TargetLoad},
    replica::Delta,
};
use log::info;
use std::{
    collections::BTreeMap,
    mem::take,
    net::SocketAddr,
    time::{Duration, Instant},
};
use strum::IntoEnumIterator;

/// Time that a peer has to send a requested part of the store; after it, the part is requested from
/// another peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(300);

/// State of the exchanges on one connection to a peer.
#[derive(Debug, Default)]
pub(super) struct PeerSession {
    /// Loads that were sent to the peer; `None` before the first exchange.
    sent_loads: Option<BTreeMap<TargetId, TargetLoad>>,
    /// Parts to request from the peer, with the revisions of the local replicas.
    wanted_parts: BTreeMap<StorePart, Revision>,
    /// Parts that the peer has requested, with the revisions of its replicas; the next request
    /// carries their changes.
    parts_to_send: BTreeMap<StorePart, Revision>,
}

impl PeerSession {
    /// Returns whether parts remain to be transferred, so that the next exchange should follow
    /// immediately.
    pub(super) fn has_pending_parts(&self) -> bool {
        !self.wanted_parts.is_empty() || !self.parts_to_send.is_empty()
    }
}

impl Gateway {
    /// Returns the next request to the peer of `session`, and records in the session what it
    /// contains.
    pub(super) fn exchange_request(&self, session: &mut PeerSession) -> ExchangeRequest {
        let now = self.clock.now();
        let mut state = self.state();
        let loads = state.pool.own_loads(now);
        let load_delta = LoadDelta::between(session.sent_loads.as_ref(), &loads);
        load_delta.apply(session.sent_loads.get_or_insert_default());
        let revisions = StorePart::iter().map(|part| (part, part.replica(&mut state).revision()));
        let revisions = revisions.collect();
        let deltas = build_deltas(&mut state, take(&mut session.parts_to_send));
        drop(state);
        ExchangeRequest {
            entry: self.settings.vm_name.clone(),
            address: self.settings.control_address,
            roster: self.roster.digest(),
            loads: load_delta,
            revisions,
            wanted: take(&mut session.wanted_parts),
            deltas,
        }
    }

    /// Applies a peer's request and returns the response.
    ///
    /// A request carries no ages of the peer's replicas, because its transit time is not known.
    /// Only responses confirm replicas.
    pub(super) fn handle_exchange(&self, request: ExchangeRequest) -> ExchangeResponse {
        self.add_addresses(&[request.address]);
        self.state().pool.update_peer(request.entry, &request.loads, self.clock.now());
        self.merge_deltas(request.deltas);
        let same_zone = self.roster.zone(request.address).as_ref() == Some(&self.settings.zone);
        let wanted = self.parts_to_request(&request.revisions, same_zone);
        let same_roster = request.roster == self.roster.digest();
        ExchangeResponse {
            zone: self.settings.zone.clone(),
            entries: if same_roster { Vec::new() } else { self.roster.addresses() },
            replicas: self.replica_statuses(),
            wanted,
            deltas: build_deltas(&mut self.state(), request.wanted),
        }
    }

    /// Applies a peer's response; `requested_at` is the uptime just before the request was sent.
    pub(super) fn apply_response(
        &self,
        response: ExchangeResponse,
        requested_at: Duration,
        session: &mut PeerSession,
    ) {
        self.add_addresses(&response.entries);
        self.merge_deltas(response.deltas);
        let mut state = self.state();
        for (part, status) in &response.replicas {
            let replica = part.replica(&mut state);
            // A replica that is at least as recent as the peer's contains everything that was
            // confirmed for the peer's.
            if let (Some(age), true) = (status.age, replica.revision() >= status.revision) {
                replica.confirm(requested_at.saturating_sub(age));
            }
        }
        drop(state);
        let revisions =
            response.replicas.iter().map(|(&part, status)| (part, status.revision)).collect();
        session.wanted_parts =
            self.parts_to_request(&revisions, response.zone == self.settings.zone);
        session.parts_to_send = response.wanted;
    }

    /// Returns the parts to request from a peer with `revisions`, with the revisions of the local
    /// replicas.
    ///
    /// The first-ranked entry of a zone requests newer parts from any peer. The other entries
    /// request them only from peers in their zone, until the newer revision has been known for
    /// `FETCH_TIMEOUT`.
    fn parts_to_request(
        &self,
        revisions: &BTreeMap<StorePart, Revision>,
        same_zone: bool,
    ) -> BTreeMap<StorePart, Revision> {
        let now = self.clock.now();
        let ranks_first = self.roster.rank_in_zone(&self.settings.zone, now) == 0;
        let mut state = self.state();
        let wanted = revisions.iter().filter_map(|(&part, &revision)| {
            let own_revision = part.replica(&mut state).revision();
            if revision <= own_revision {
                return None;
            }
            let fetch = state.fetches.entry(part).or_default();
            let begins = fetch.try_begin(same_zone || ranks_first, now);
            begins.then_some((part, own_revision))
        });
        wanted.collect()
    }

    fn replica_statuses(&self) -> BTreeMap<StorePart, ReplicaStatus> {
        let now = self.clock.uptime();
        let mut state = self.state();
        let statuses = StorePart::iter().map(|part| {
            let replica = part.replica(&mut state);
            (
                part,
                ReplicaStatus { revision: replica.revision(), age: replica.freshness().age(now) },
            )
        });
        statuses.collect()
    }

    fn add_addresses(&self, addresses: &[SocketAddr]) {
        for address in self.roster.add(addresses) {
            info!(target: "decision", address:%; "discovered an entry; starting exchanges with it");
        }
    }

    fn merge_deltas(&self, deltas: BTreeMap<StorePart, Delta>) {
        for (part, delta) in deltas {
            let mut state = self.state();
            let replica = part.replica(&mut state);
            let before: Revision = replica.revision();
            let merged = replica.merge(delta);
            let after = replica.revision();
            state.fetches.remove(&part);
            drop(state);
            if merged {
                info!(target: "decision", part:%, before, after; "took changes from a peer");
                self.activate(part);
                // The other entries of the zone request the changes from the first-ranked one.
                if self.roster.rank_in_zone(&self.settings.zone, self.clock.now()) == 0 {
                    self.notify_peers();
                }
            }
        }
    }
}

/// State of the transfer of one part of which a peer has a newer revision.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fetch {
    /// Time at which the newer revision became known.
    behind_since: Option<Instant>,
    /// Time until which the response to the last request is awaited.
    pending_until: Option<Instant>,
}

impl Fetch {
    /// Returns whether to request the part now, and if so records the request as pending. Returns
    /// false while an earlier request is pending; otherwise true if `immediately`, or if the newer
    /// revision has been known for at least `FETCH_TIMEOUT`.
    fn try_begin(&mut self, immediately: bool, now: Instant) -> bool {
        let behind_since = *self.behind_since.get_or_insert(now);
        let timed_out = now.saturating_duration_since(behind_since) >= FETCH_TIMEOUT;
        let pending = self.pending_until.is_some_and(|until| now < until);
        let begins = !pending && (immediately || timed_out);
        if begins {
            self.pending_until = Some(now + FETCH_TIMEOUT);
        }
        begins
    }
}

/// Returns the changes of the `wanted` parts since the given revisions, without parts that have
/// none.
fn build_deltas(
    state: &mut GatewayState,
    wanted: BTreeMap<StorePart, Revision>,
) -> BTreeMap<StorePart, Delta> {
    let deltas = wanted.into_iter().filter_map(|(part, base_revision)| {
        let delta = part.replica(state).delta(base_revision)?;
        Some((part, delta))
    });
    deltas.collect()
}
