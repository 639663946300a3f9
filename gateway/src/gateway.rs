//! State of a gateway, and the decisions that are made under its lock.

use crate::{
    leases::{LeaseReceiver, LeaseSender},
    peers::Fetch,
    quarantine::{LossReceiver, LossSender},
    serve::OpenRequests,
    shortage::Shortage,
    store::{StorePart, is_stale},
};
use fulmarhead_lib::{
    clock::SharedClock,
    forward::{Failure, StopSchedule},
    ids::{ServiceId, StoreEra, TargetId},
    limits::SharedRetryBudget,
    membership::{EntryInfo, Link, Roster},
    placement::{Choice, ConnectionId, Notice, NoticeEffect, Pool},
    quarantine::Quarantine,
    replica::{ListRecovery, Replica},
    routes::{CallerLimits, Denial, RouteMatch, RouteTable, Service},
};
use fulmarhead_platform::{NodeSettings, OrderClient, StoreClient};
use fulmarhead_runtime::http::BodyBudget;
use log::{info, warn};
use std::{
    collections::{BTreeMap, BTreeSet},
    future::pending,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Maximum age of the configuration under which a key is accepted, as a share of the time after
/// which a revoked key must be refused; the rest covers clocks that run at different rates.
const MAX_CONFIG_AGE_SHARE: f64 = 0.95;

/// Maximum age of the configuration under which a request may be denied; an older one may lack a
/// new route or key. It exceeds the age that a replica reaches while the store responds, which is
/// the sum of `POLL_AGE`, `MAX_POLL_STAGGER` and the duration of one call to the store.
const MAX_DENIAL_AGE: Duration = Duration::from_millis(3_000);

/// The reason why no route is selected for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SelectError {
    /// The configuration does not allow the request.
    #[error("the configuration does not allow the request: {0}")]
    Denied(#[from] Denial),
    /// The entry can't determine whether the configuration allows the request.
    #[error("the entry can't select a route for the request: {0}")]
    Unavailable(#[from] Failure),
}

/// Receiving ends of the queues of a gateway.
pub(crate) struct Receivers {
    pub(crate) leases: LeaseReceiver,
    pub(crate) losses: LossReceiver,
}

/// State that the tasks of a gateway share.
pub struct Gateway {
    /// Settings of the VM and the process, read once at start.
    pub settings: NodeSettings,
    pub(crate) clock: SharedClock,
    /// Memory for the bodies of callers and of collected responses.
    pub(crate) bodies: BodyBudget,
    /// Requests of callers that are in progress.
    pub(crate) open_requests: OpenRequests,
    pub(crate) store: StoreClient,
    pub(crate) orders: OrderClient,
    pub(crate) lease_sender: LeaseSender,
    pub(crate) loss_sender: LossSender,
    roster: Mutex<Roster>,
    last_connection: AtomicU64,
    /// Version of the active configuration; 0 before the first.
    pub(crate) config_version: watch::Sender<u64>,
    /// Counts the updates that must be sent to the other entries immediately.
    pub(crate) peer_updates: watch::Sender<u64>,
    /// Cancelled when requests in progress have to end, because the process does.
    pub(crate) end_requests: CancellationToken,
    /// Counts the changes of the quarantined parts.
    pub(crate) quarantine_updates: watch::Sender<u64>,
    state: Mutex<GatewayState>,
}

/// Mutable state on which the decisions of a gateway are based.
pub(crate) struct GatewayState {
    /// Replica of the operator's configuration and the zones to evacuate.
    pub(crate) config_replica: Replica,
    /// Replica of the list of targets.
    pub(crate) target_list: Replica,
    pub(crate) list_recovery: ListRecovery,
    /// Era of the store whose contents are active, by part.
    pub(crate) active_eras: BTreeMap<StorePart, StoreEra>,
    /// Transfers from peers of parts of the store of which a peer has a newer state.
    pub(crate) fetches: BTreeMap<StorePart, Fetch>,
    /// Active configuration; `None` before the first.
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) pool: Pool,
    /// Whether the loads of the other entries were known at the last review.
    pub(crate) loads_known: Option<bool>,
    /// Targets that were slow at the last review.
    pub(crate) slow_targets: BTreeSet<TargetId>,
    pub(crate) retry_budgets: BTreeMap<ServiceId, SharedRetryBudget>,
    pub(crate) quarantine: Quarantine,
    /// Requests that wait for capacity.
    pub(crate) shortage: Shortage,
    /// Schedule of the stop, once it has begun.
    pub(crate) stop: Option<StopSchedule>,
}

impl Gateway {
    /// Returns a gateway without any configuration or targets, and the receivers of its queues.
    pub(crate) fn new(settings: NodeSettings, clock: SharedClock) -> (Arc<Self>, Receivers) {
        let (lease_sender, leases) = LeaseSender::new();
        let (loss_sender, losses) = LossSender::new();
        let state = GatewayState {
            config_replica: Replica::default(),
            target_list: Replica::default(),
            list_recovery: ListRecovery::new(settings.heartbeat),
            active_eras: BTreeMap::new(),
            fetches: BTreeMap::new(),
            table: None,
            pool: Pool::new(settings.zone.clone(), settings.start_bound),
            loads_known: None,
            slow_targets: BTreeSet::new(),
            retry_budgets: BTreeMap::new(),
            quarantine: Quarantine::new(&settings.vm_name),
            shortage: Shortage::default(),
            stop: None,
        };
        let info = EntryInfo { zone: settings.zone.clone(), cpu_millis: settings.cpu_millis };
        let roster = Roster::new(settings.control_address, info, &settings.seeds, clock.now());
        let gateway = Self {
            bodies: BodyBudget::new(settings.memory_bytes, Arc::clone(&clock)),
            open_requests: OpenRequests::new(Arc::clone(&clock)),
            orders: OrderClient::default(),
            lease_sender,
            loss_sender,
            store: StoreClient::new(settings.store_address),
            roster: Mutex::new(roster),
            last_connection: AtomicU64::new(0),
            settings,
            clock,
            config_version: watch::Sender::new(0),
            peer_updates: watch::Sender::new(0),
            end_requests: CancellationToken::new(),
            quarantine_updates: watch::Sender::new(0),
            state: Mutex::new(state),
        };
        gateway.divide_limits();
        (Arc::new(gateway), Receivers { leases, losses })
    }

    /// Locks the state. The guard must not be held across an `await`.
    ///
    /// A panic of one request under the lock must not end all others, so that the state is used on.
    pub(crate) fn state(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the roster. The guard must not be held across an `await`, or while the state is
    /// locked.
    pub(crate) fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a number for a new connection to or from another entry.
    pub(crate) fn next_connection(&self) -> ConnectionId {
        self.last_connection.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the entries with which this one exchanges state now.
    pub(crate) fn peer_links(&self) -> BTreeMap<SocketAddr, Link> {
        let stale = is_stale(&mut self.state(), self.clock.uptime());
        self.roster().links(stale, self.clock.now())
    }

    /// Returns the number of known entries, running or not, among which shared limits are divided;
    /// at least 1.
    pub(crate) fn entry_count(&self) -> usize {
        self.roster().entry_count()
    }

    /// Returns the limits for callers under the active configuration, or the defaults without one.
    pub(crate) fn limits(&self) -> CallerLimits {
        self.state().table.as_ref().map(|table| table.limits()).unwrap_or_default()
    }

    /// Selects the route and the team of a request under the active configuration.
    ///
    /// # Errors
    ///
    /// Returns `Denied` if the configuration does not allow the request, and `Unavailable` if there
    /// is no configuration, or if the active one is too old to accept the key or to deny the
    /// request.
    pub(crate) fn select_route(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(RouteMatch, Arc<RouteTable>), SelectError> {
        let state = self.state();
        let now = self.clock.uptime();
        let freshness = state.config_replica.freshness();
        let table = state.table.as_ref().ok_or(Failure::StaleConfiguration)?;
        match table.select(host, path, key) {
            Ok(route_match) => {
                let max_age = self.settings.revocation_bound.mul_f64(MAX_CONFIG_AGE_SHARE);
                // A request without a team has no key that could have been revoked.
                let may_accept = route_match.team.is_none() || freshness.is_within(max_age, now);
                may_accept.then_some(()).ok_or(Failure::StaleConfiguration)?;
                Ok((route_match, Arc::clone(table)))
            }
            Err(denial) => {
                let recent = freshness.is_within(MAX_DENIAL_AGE, now);
                recent.then_some(()).ok_or(Failure::StaleConfiguration)?;
                Err(denial.into())
            }
        }
    }

    /// Counts a caller's request for the retry budget of its service.
    pub(crate) fn count_request(&self, service_id: &str) {
        let now = self.clock.now();
        let mut state = self.state();
        let budget = state.retry_budgets.entry(service_id.to_owned()).or_default();
        budget.record_request(&self.settings.retry_settings, now);
    }

    /// Withdraws a retry from the budget of a service; returns false if the budget does not allow
    /// one.
    pub(crate) fn try_withdraw_retry(&self, service: &Service) -> bool {
        let (now, entry_count) = (self.clock.now(), self.entry_count());
        let mut state = self.state();
        let budget = state.retry_budgets.entry(service.id.clone()).or_default();
        budget.try_withdraw(&self.settings.retry_settings, entry_count, now)
    }

    /// Returns whether the retry budget of a service allows a retry, without withdrawing it.
    pub(crate) fn may_retry(&self, service: &Service) -> bool {
        let (now, entry_count) = (self.clock.now(), self.entry_count());
        let state = self.state();
        let budget = state.retry_budgets.get(&service.id);
        budget.is_some_and(|budget| budget.allows(&self.settings.retry_settings, entry_count, now))
    }

    /// Records what a response of the target of `choice` says about further requests.
    pub(crate) fn record_notice(&self, choice: &Choice, notice: Notice) {
        let effect = self.state().pool.record_notice(choice, notice, self.clock.now());
        let backend = &*choice.target;
        match effect {
            Some(NoticeEffect::Leaving) => {
                metrics::counter!("fulmarhead_targets_leaving_total").increment(1);
                info!(target: "decision", backend; "target is leaving; it gets no new requests");
            }
            Some(NoticeEffect::Paused(pause)) => {
                metrics::counter!("fulmarhead_target_pauses_total").increment(1);
                let pause_ms = pause.as_millis() as u64;
                info!(target: "decision", backend, pause_ms; "target wants no requests for a time");
            }
            None => {}
        }
    }

    /// Returns whether the gateway has a list of targets and a configuration that is recent enough
    /// to accept keys.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state();
        let max_age = self.settings.revocation_bound.mul_f64(MAX_CONFIG_AGE_SHARE);
        state.table.is_some()
            && state.target_list.position().revision > 0
            && state.config_replica.freshness().is_within(max_age, self.clock.uptime())
    }

    /// Waits until a configuration is active.
    pub(crate) async fn wait_configured(&self) {
        let mut config_version = self.config_version.subscribe();
        if config_version.wait_for(|version| *version > 0).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Wakes the tasks that exchange state with the other entries, so that they send this entry's
    /// state immediately.
    pub(crate) fn notify_peers(&self) {
        self.peer_updates.send_modify(|count| *count += 1);
    }

    /// Records that the process is stopping; responses then close their connections, and requests that
    /// might not end in time are refused.
    pub(crate) fn begin_stop(&self, schedule: StopSchedule) {
        let mut state = self.state();
        state.stop = Some(schedule);
        // Those that can't be served before the end are refused now.
        state.shortage.wake_all();
    }

    /// Ends the requests that are still in progress, since the process is about to end.
    pub(crate) fn end_requests(&self) {
        for (record, elapsed) in self.open_requests.list() {
            let stage = <&'static str>::from(record.stage);
            metrics::counter!("fulmarhead_requests_ended_by_stop_total", "stage" => stage)
                .increment(1);
            let (request, total_ms) = (record.request, elapsed.as_millis() as u64);
            warn!(
                target: "decision", request, stage, total_ms;
                "request is still in progress at the end of the grace period; ending it"
            );
        }
        self.end_requests.cancel();
    }
}
