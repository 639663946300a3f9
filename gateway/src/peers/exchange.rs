//! Builds the messages that entries exchange and applies those received.

use super::protocol::{ExchangeRequest, ExchangeResponse, ProtocolVersion, ReplicaStatus};
use crate::{
    gateway::{Gateway, GatewayState},
    store::StorePart,
};
use fulmarhead_lib::{
    ids::TargetId,
    membership::{EntryInfo, Link},
    placement::{ConnectionId, LimitNews, LimitVersion, LoadDelta, ReportSource, TargetLoad},
    quarantine::{News, Version},
    replica::{Delta, Position},
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
#[derive(Debug)]
pub(super) struct PeerSession {
    link: Link,
    connection: ConnectionId,
    /// Loads that were sent to the peer; `None` before the first exchange.
    sent_loads: Option<BTreeMap<TargetId, TargetLoad>>,
    /// Version of the quarantine that was sent to the peer.
    sent_version: Version,
    /// Version of the limits of targets that was sent to the peer.
    sent_limits: LimitVersion,
    /// Digest of the entries that the peer knew at its last response.
    peer_roster: Option<u64>,
    /// Parts to request from the peer, with the positions of the local replicas.
    wanted_parts: BTreeMap<StorePart, Position>,
    /// Parts that the peer has requested, with the positions of its replicas; the next request
    /// carries their changes.
    parts_to_send: BTreeMap<StorePart, Position>,
}

impl PeerSession {
    /// Returns the state of a new connection to a peer that is called for `link`.
    pub(super) fn new(link: Link, connection: ConnectionId) -> Self {
        Self {
            link,
            connection,
            sent_loads: None,
            sent_version: 0,
            sent_limits: 0,
            peer_roster: None,
            wanted_parts: BTreeMap::new(),
            parts_to_send: BTreeMap::new(),
        }
    }

    /// Returns whether parts remain to be transferred, so that the next exchange should follow
    /// immediately.
    pub(super) fn has_pending_parts(&self) -> bool {
        !self.wanted_parts.is_empty() || !self.parts_to_send.is_empty()
    }
}

/// State of one connection from a peer.
#[derive(Debug)]
pub(super) struct CallerSession {
    connection: ConnectionId,
    /// Source of the loads that arrive on the connection.
    source: Option<ReportSource>,
    /// Loads that were sent to the peer; `None` before the first response that carries any.
    sent_loads: Option<BTreeMap<TargetId, TargetLoad>>,
    /// Version of the quarantine that was sent to the peer.
    sent_version: Version,
    /// Version of the limits of targets that was sent to the peer.
    sent_limits: LimitVersion,
}

impl CallerSession {
    /// Returns the state of a new connection.
    pub(super) fn new(connection: ConnectionId) -> Self {
        Self { connection, source: None, sent_loads: None, sent_version: 0, sent_limits: 0 }
    }
}

impl Gateway {
    /// Returns the next request to the peer of `session`, and records in the session what it
    /// contains. `urgent` says that other zones must learn of a change immediately.
    pub(super) fn exchange_request(
        &self,
        session: &mut PeerSession,
        urgent: bool,
    ) -> ExchangeRequest {
        let now = self.clock.now();
        let mut state = self.state();
        let loads = matches!(session.link, Link::Relay | Link::Zone)
            .then(|| load_changes(&mut session.sent_loads, &state.pool.member_loads(now)));
        let positions = StorePart::iter().map(|part| (part, part.replica(&mut state).position()));
        let positions = positions.collect();
        let deltas = build_deltas(&mut state, take(&mut session.parts_to_send));
        let quarantine = quarantine_news(&state, &mut session.sent_version, now);
        let limits = limit_news(&state, &mut session.sent_limits, now);
        drop(state);
        let roster = self.roster();
        let peer_differs = session.peer_roster.is_some_and(|digest| digest != roster.digest());
        ExchangeRequest {
            entry: self.settings.vm_name.clone(),
            version: ProtocolVersion,
            address: self.settings.control_address,
            info: roster.own_info().clone(),
            link: session.link,
            roster: roster.digest(),
            entries: if peer_differs { roster.known_entries() } else { BTreeMap::new() },
            loads,
            urgent,
            positions,
            wanted: take(&mut session.wanted_parts),
            deltas,
            quarantine,
            limits,
        }
    }

    /// Applies a peer's request and returns the response.
    ///
    /// A request carries no ages of the peer's replicas, because its transit time is not known.
    /// Only responses confirm replicas.
    pub(super) fn handle_exchange(
        &self,
        request: ExchangeRequest,
        session: &mut CallerSession,
    ) -> ExchangeResponse {
        let same_zone = request.info.zone == self.settings.zone;
        self.add_entries(BTreeMap::from([(request.address, request.info)]));
        self.add_entries(request.entries);
        session.source = match request.link {
            Link::Relay => Some(ReportSource::Member(request.entry)),
            Link::Zone => Some(ReportSource::Zone(request.entry)),
            Link::Backup | Link::Discovery => None,
        };
        let loads = self.exchange_loads(request.loads, session);
        self.merge_news(request.quarantine);
        self.merge_limits(request.limits);
        let now = self.clock.now();
        let quarantine = quarantine_news(&self.state(), &mut session.sent_version, now);
        let limits = limit_news(&self.state(), &mut session.sent_limits, now);
        if request.urgent && request.link == Link::Relay {
            self.notify_peers();
        }
        self.merge_deltas(request.deltas);
        let wanted = self.parts_to_request(&request.positions, same_zone);
        let deltas = build_deltas(&mut self.state(), request.wanted);
        let replicas = self.replica_statuses();
        let roster = self.roster();
        let same_roster = request.roster == roster.digest();
        ExchangeResponse {
            info: roster.own_info().clone(),
            roster: roster.digest(),
            entries: if same_roster { BTreeMap::new() } else { roster.known_entries() },
            loads,
            replicas,
            wanted,
            deltas,
            quarantine,
            limits,
        }
    }

    /// Records the loads that arrived on the connection of `session`, and returns the changes of
    /// those of all other entries if the peer is a member.
    fn exchange_loads(
        &self,
        received: Option<LoadDelta>,
        session: &mut CallerSession,
    ) -> Option<LoadDelta> {
        let (now, source) = (self.clock.now(), session.source.clone()?);
        let mut state = self.state();
        if let Some(delta) = received {
            state.pool.update_report(source.clone(), session.connection, &delta, now);
        }
        let is_member = matches!(source, ReportSource::Member(_));
        is_member
            .then(|| load_changes(&mut session.sent_loads, &state.pool.loads_without(&source, now)))
    }

    /// Forgets the loads that arrived on a connection which has closed.
    pub(super) fn end_session(&self, session: &CallerSession) {
        if let Some(source) = &session.source {
            self.state().pool.remove_report(source, session.connection);
        }
    }

    /// Applies a peer's response; `requested_at` is the uptime just before the request was sent.
    pub(super) fn apply_response(
        &self,
        response: ExchangeResponse,
        address: SocketAddr,
        requested_at: Duration,
        session: &mut PeerSession,
    ) {
        let now = self.clock.now();
        let same_zone = response.info.zone == self.settings.zone;
        self.add_entries(BTreeMap::from([(address, response.info)]));
        self.add_entries(response.entries);
        self.roster().record_response(address, now);
        session.peer_roster = Some(response.roster);
        self.merge_news(response.quarantine);
        self.merge_limits(response.limits);
        self.merge_deltas(response.deltas);
        let mut state = self.state();
        if let Some(delta) = &response.loads {
            state.pool.update_report(ReportSource::Relay, session.connection, delta, now);
        }
        for (part, status) in &response.replicas {
            let replica = part.replica(&mut state);
            // A replica that is at least as recent as the peer's contains everything that was
            // confirmed for the peer's.
            if let (Some(age), true) = (status.age, replica.position() >= status.position) {
                part.confirm(&mut state, requested_at.saturating_sub(age));
            }
        }
        drop(state);
        let positions =
            response.replicas.iter().map(|(&part, status)| (part, status.position)).collect();
        session.wanted_parts = self.parts_to_request(&positions, same_zone);
        session.parts_to_send = response.wanted;
    }

    /// Returns the parts to request from a peer with `positions`, with the positions of the local
    /// replicas.
    ///
    /// The relay of a zone requests newer parts from any peer. The other entries request them only
    /// from peers in their zone, until the newer position has been known for `FETCH_TIMEOUT`.
    fn parts_to_request(
        &self,
        positions: &BTreeMap<StorePart, Position>,
        same_zone: bool,
    ) -> BTreeMap<StorePart, Position> {
        let now = self.clock.now();
        let is_relay = self.roster().is_relay();
        let mut state = self.state();
        let wanted = positions.iter().filter_map(|(&part, &position)| {
            let own_position = part.replica(&mut state).position();
            if position <= own_position {
                return None;
            }
            let fetch = state.fetches.entry(part).or_default();
            let begins = fetch.try_begin(same_zone || is_relay, now);
            begins.then_some((part, own_position))
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
                ReplicaStatus { position: replica.position(), age: replica.freshness().age(now) },
            )
        });
        statuses.collect()
    }

    fn add_entries(&self, entries: BTreeMap<SocketAddr, EntryInfo>) {
        let discovered = self.roster().merge(entries);
        for address in &discovered {
            info!(target: "decision", address:%; "discovered an entry");
        }
        if !discovered.is_empty() {
            self.divide_limits();
        }
    }

    fn merge_deltas(&self, deltas: BTreeMap<StorePart, Delta>) {
        for (part, delta) in deltas {
            let mut state = self.state();
            let replica = part.replica(&mut state);
            let before = replica.position();
            let merged = replica.merge(delta);
            let after = replica.position();
            state.fetches.remove(&part);
            drop(state);
            if merged {
                info!(target: "decision", part:%, before:%, after:%; "took changes from a peer");
                self.activate(part);
                // The other zones request the changes from the relay of this one.
                if self.roster().is_relay() {
                    self.notify_peers();
                }
            }
        }
    }
}

/// State of the transfer of one part of which a peer has a newer state.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fetch {
    /// Time at which the newer state became known.
    behind_since: Option<Instant>,
    /// Time until which the response to the last request is awaited.
    pending_until: Option<Instant>,
}

impl Fetch {
    /// Returns whether to request the part now, and if so records the request as pending. Returns
    /// false while an earlier request is pending; otherwise true if `immediately`, or if the newer
    /// state has been known for at least `FETCH_TIMEOUT`.
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

/// Returns the changes that turn the loads that the peer has into `loads`, and records that they
/// are sent.
fn load_changes(
    sent_loads: &mut Option<BTreeMap<TargetId, TargetLoad>>,
    loads: &BTreeMap<TargetId, TargetLoad>,
) -> LoadDelta {
    let delta = LoadDelta::between(sent_loads.as_ref(), loads);
    delta.apply(sent_loads.get_or_insert_default());
    delta
}

/// Returns the changes of the quarantine that the peer does not have, and records that they are
/// sent.
fn quarantine_news(state: &GatewayState, sent_version: &mut Version, now: Instant) -> News {
    let (news, version) = state.quarantine.news_since(*sent_version, now);
    *sent_version = version;
    news
}

/// Returns the changes of the limits of targets that the peer does not have, and records that they
/// are sent.
fn limit_news(
    state: &GatewayState,
    sent_limits: &mut LimitVersion,
    now: Instant,
) -> Vec<LimitNews> {
    let (news, version) = state.pool.limits_since(*sent_limits, now);
    *sent_limits = version;
    news
}

/// Returns the changes of the `wanted` parts since the given positions, without parts that have
/// none.
fn build_deltas(
    state: &mut GatewayState,
    wanted: BTreeMap<StorePart, Position>,
) -> BTreeMap<StorePart, Delta> {
    let deltas = wanted.into_iter().filter_map(|(part, base)| {
        let delta = part.replica(state).delta(base)?;
        Some((part, delta))
    });
    deltas.collect()
}
