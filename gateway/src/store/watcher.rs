//! Keeps a replica of one part of the store current with snapshots and watches.

use crate::gateway::{Gateway, GatewayState};
use fulmarhead_lib::{
    ids::{Revision, StoreEra},
    membership::Roster,
    replica::{CopyWait, Position, Replica, StartRole},
};
use fulmarhead_platform::{CONFIG_PREFIX, MEMBER_PREFIX, StoreError};
use fulmarhead_runtime::supervisor::TaskResult;
use log::{info, warn};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};
use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Number of relays that watch the store all the time. One would suffice; with a second one, the
/// failure of either does not affect the other entries.
const WATCHING_RELAYS: usize = 2;

/// Wait time of a watch. A response confirms, also for the other entries, that the replica was up
/// to date when the request was sent, up to one wait time ago. The next response can take another
/// wait time, so the replica's age reaches up to two wait times.
const WATCH_WAIT: Duration = Duration::from_millis(600);

/// Wait time of a call that only confirms the replica, the shortest that the store accepts.
const POLL_WAIT: Duration = Duration::from_millis(1);

/// Age of a replica at which an entry that does not watch polls the store: two watches and two
/// exchanges between entries. Together with the duration of the poll it is less than the two seconds
/// within which a change must become active.
const POLL_AGE: Duration = Duration::from_millis(1_400);

/// Additional delay of a relay's poll for each relay that ranks before it, so that the response to
/// the first poll can make the others unnecessary.
const POLL_STAGGER: Duration = Duration::from_millis(20);

/// Maximum delay of a relay's poll by `POLL_STAGGER`, and the delay of the polls of entries that
/// are no relay, so that a poll of their relay makes theirs unnecessary.
const MAX_POLL_STAGGER: Duration = Duration::from_millis(300);

/// Interval at which an entry that starts checks whether it has a peer's copy.
const COPY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the age of the replica is checked, shorter than the interval between
/// exchanges.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after the first failed call; the store responds within milliseconds.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay between failed calls of an entry that watches, a fraction of the time within which
/// a configuration must become active.
const MAX_WATCH_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum delay between failed calls of any other entry, which learns from the watching entries
/// when the store has recovered.
const MAX_POLL_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// A part of the store that is replicated separately.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum StorePart {
    /// The operator's configuration and the zones to evacuate.
    Operator,
    /// The list of targets.
    Members,
}

impl StorePart {
    /// Returns the prefix of the part's keys.
    pub(crate) fn key_prefix(self) -> &'static str {
        match self {
            Self::Operator => CONFIG_PREFIX,
            Self::Members => MEMBER_PREFIX,
        }
    }

    /// Returns the replica of the part.
    pub(crate) fn replica(self, state: &mut GatewayState) -> &mut Replica {
        match self {
            Self::Operator => &mut state.config_replica,
            Self::Members => &mut state.target_list,
        }
    }

    /// Records that the replica of the part was up to date at the uptime `at`.
    pub(crate) fn confirm(self, state: &mut GatewayState, at: Duration) {
        self.replica(state).confirm(at);
        if self == Self::Members {
            state.list_recovery.confirm(at);
        }
    }
}

/// Keeps the replica of `part` current until `stop` is cancelled.
pub(crate) async fn watch_store(
    gateway: Arc<Gateway>,
    part: StorePart,
    stop: CancellationToken,
) -> TaskResult {
    tokio::select! {
        () = stop.cancelled() => {}
        () = replicate(&gateway, part) => {}
    }
    Ok(())
}

async fn replicate(gateway: &Gateway, part: StorePart) {
    let mut loaded = wait_for_peer_copy(gateway, part).await;
    let mut retry_delay = INITIAL_RETRY_DELAY;
    let mut failing = false;
    loop {
        let position = part.replica(&mut gateway.state()).position();
        let result = match loaded {
            true => update_replica(gateway, part).await,
            false => load_snapshot(gateway, part).await,
        };
        match result {
            Ok(()) => {
                if failing {
                    info!(
                        target: "decision", part:%;
                        "the platform's store responds again"
                    );
                }
                (loaded, failing, retry_delay) = (true, false, INITIAL_RETRY_DELAY);
                continue;
            }
            Err(StoreError::Compacted) => {
                info!(
                    target: "decision", part:%;
                    "the store compacted its history; reading a snapshot"
                );
                loaded = false;
            }
            Err(error @ (StoreError::TooManyChanges | StoreError::Returned)) => {
                info!(target: "decision", part:%, error:%; "reading a snapshot");
                loaded = false;
            }
            Err(error) if !failing => {
                warn!(target: "decision", part:%, error:%; "the platform's store failed");
                failing = true;
            }
            Err(_) => {}
        }
        metrics::counter!("fulmarhead_store_failures_total", "part" => <&str>::from(part))
            .increment(1);
        sleep(retry_delay).await;
        let max_delay =
            if is_watcher(gateway) { MAX_WATCH_RETRY_DELAY } else { MAX_POLL_RETRY_DELAY };
        retry_delay = (retry_delay * 2).min(max_delay);
        // A peer has sent a newer copy meanwhile.
        loaded |= part.replica(&mut gateway.state()).position() > position;
    }
}

/// Returns whether a replica is so old that its entry polls the store.
pub(crate) fn is_stale(state: &mut GatewayState, uptime: Duration) -> bool {
    StorePart::iter().any(|part| !part.replica(state).freshness().is_within(POLL_AGE, uptime))
}

/// Returns whether this entry watches the store on behalf of the others.
fn is_watcher(gateway: &Gateway) -> bool {
    let rank = gateway.roster().relay_rank(gateway.clock.now());
    rank.is_some_and(|rank| rank < WATCHING_RELAYS)
}

/// Waits until a peer has sent a copy of the part, and returns whether one has.
///
/// Many entries that start at once would otherwise each read all pages of the store.
async fn wait_for_peer_copy(gateway: &Gateway, part: StorePart) -> bool {
    let (first_start, draw) = (gateway.settings.first_start, rand::rng().random());
    let mut wait = CopyWait::begin(first_start, draw, gateway.clock.now());
    while part.replica(&mut gateway.state()).position().revision == 0 {
        let role = start_role(&gateway.roster());
        if wait.is_over(role, gateway.clock.now()) {
            return false;
        }
        sleep(COPY_CHECK_INTERVAL).await;
    }
    true
}

fn start_role(roster: &Roster) -> StartRole {
    match roster.is_settled_relay() {
        true => StartRole::Relay,
        false if roster.has_peer() => StartRole::Member,
        false => StartRole::Alone,
    }
}

/// Replaces the replica with a snapshot of the part.
async fn load_snapshot(gateway: &Gateway, part: StorePart) -> Result<(), StoreError> {
    let requested_at = gateway.clock.uptime();
    let snapshot = gateway.store.snapshot(part.key_prefix()).await?;
    let mut state = gateway.state();
    let replica = part.replica(&mut state);
    let own_position = replica.position();
    let position = position(snapshot.era, snapshot.revision, own_position);
    if !replica.load_snapshot(position, snapshot.items) {
        info!(
            target: "decision", part:%, position:%, own_position:%;
            "discarded a snapshot that is older than the replica"
        );
        metrics::counter!("fulmarhead_store_snapshots_discarded_total", "part" => <&str>::from(part))
            .increment(1);
        return Err(StoreError::Outdated);
    }
    part.confirm(&mut state, requested_at);
    drop(state);
    gateway.activate(part);
    Ok(())
}

/// Returns the position of a response. One without an era is taken to be of the era of the replica
/// that the call was made for, as a store that names no era has only one.
fn position(era: Option<StoreEra>, revision: Revision, base: Position) -> Position {
    Position::new(era.unwrap_or(base.era), revision)
}

/// Watches the store, or polls it once the replica is too old despite the confirmations of other
/// entries.
async fn update_replica(gateway: &Gateway, part: StorePart) -> Result<(), StoreError> {
    loop {
        let rank = gateway.roster().relay_rank(gateway.clock.now());
        if rank.is_some_and(|rank| rank < WATCHING_RELAYS) {
            return fetch_changes(gateway, part, WATCH_WAIT).await;
        }
        let stagger = rank.map_or(MAX_POLL_STAGGER, |rank| POLL_STAGGER * rank as u32);
        let stagger = stagger.min(MAX_POLL_STAGGER);
        let freshness = part.replica(&mut gateway.state()).freshness();
        match freshness.age(gateway.clock.uptime()) {
            Some(age) if age < POLL_AGE + stagger => {
                sleep((POLL_AGE + stagger - age).min(AGE_CHECK_INTERVAL)).await;
            }
            _ => return fetch_changes(gateway, part, POLL_WAIT).await,
        }
    }
}

/// Waits up to `wait` for changes and applies them to the replica.
async fn fetch_changes(
    gateway: &Gateway,
    part: StorePart,
    wait: Duration,
) -> Result<(), StoreError> {
    let requested_at = gateway.clock.uptime();
    let base = part.replica(&mut gateway.state()).position();
    let response = gateway.store.watch(part.key_prefix(), base.revision, wait).await?;
    let changed = !response.changes.is_empty();
    let position = position(response.era, response.revision, base);
    let mut state = gateway.state();
    let replica = part.replica(&mut state);
    if !replica.apply(base.revision, position, response.changes) {
        return match position.era < replica.position().era {
            true => Err(StoreError::Outdated),
            false => Err(StoreError::Returned),
        };
    }
    part.confirm(&mut state, requested_at);
    state.fetches.remove(&part);
    drop(state);
    if changed {
        gateway.activate(part);
        gateway.notify_peers();
    }
    Ok(())
}
