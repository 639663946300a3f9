//! State of a gateway and its decisions under one lock.

use crate::{
    leases::{LeaseQueue, Lessor},
    peers::{Fetch, Roster},
    store::Part,
};
use fulmarhead_lib::{
    clock::SharedClock,
    forward::Failure,
    ids::ServiceId,
    limits::SharedRetryBudget,
    placement::Pool,
    replica::Replica,
    routes::{CallerLimits, Denial, RouteMatch, RouteTable, Service},
};
use fulmarhead_platform::{NodeSettings, OrderClient, StoreClient};
use std::{
    collections::BTreeMap,
    future::pending,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// Part of the time until a revoked key must not work that the age of the configuration may use;
/// the rest covers clocks that run at different rates.
const FRESH_PART: f64 = 0.95;

/// Age up to which a configuration is taken to show all routes and keys: two waits of a watch and
/// the time of an answer.
const CERTAIN_AGE: Duration = Duration::from_millis(3_000);

/// Why a request is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Refused {
    /// The configuration does not allow it.
    #[error("the configuration does not allow the request: {0}")]
    Denied(#[from] Denial),
    /// The entry can't tell whether the configuration allows it.
    #[error("the entry can't serve the request: {0}")]
    Unable(#[from] Failure),
}

/// A gateway.
pub struct Gateway {
    /// Settings of the process.
    pub settings: NodeSettings,
    pub(crate) clock: SharedClock,
    pub(crate) store: StoreClient,
    pub(crate) orders: OrderClient,
    pub(crate) lessor: Lessor,
    pub(crate) roster: Roster,
    pub(crate) version: watch::Sender<u64>,
    /// Counts what the other entries have to know at once.
    pub(crate) news: watch::Sender<u64>,
    core: Mutex<Core>,
}

/// What the decisions of a gateway work on.
pub(crate) struct Core {
    pub(crate) operator: Replica,
    pub(crate) members: Replica,
    pub(crate) list_trouble: Option<Instant>,
    pub(crate) fetches: BTreeMap<Part, Fetch>,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) pool: Pool,
    pub(crate) retries: BTreeMap<ServiceId, SharedRetryBudget>,
    pub(crate) stopping: bool,
}

impl Gateway {
    /// Returns a gateway that starts without any state, and the queue of its leases.
    pub(crate) fn new(settings: NodeSettings, clock: SharedClock) -> (Arc<Self>, LeaseQueue) {
        let (lessor, leases) = Lessor::new();
        let core = Core {
            operator: Replica::default(),
            members: Replica::default(),
            list_trouble: None,
            fetches: BTreeMap::new(),
            table: None,
            pool: Pool::new(settings.zone.clone(), settings.start_bound),
            retries: BTreeMap::new(),
            stopping: false,
        };
        let gateway = Self {
            orders: OrderClient::default(),
            lessor,
            store: StoreClient::new(settings.store_address),
            roster: Roster::new(settings.control_address, &settings.seeds),
            settings,
            clock,
            version: watch::Sender::new(0),
            news: watch::Sender::new(0),
            core: Mutex::new(core),
        };
        (Arc::new(gateway), leases)
    }

    /// Locks the state; never held across an await.
    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("no holder of the lock panics")
    }

    /// Returns the number of entries that share the bounds of the fleet, at least 1.
    pub(crate) fn entries(&self) -> usize {
        self.roster.size()
    }

    /// Returns the limits of callers.
    pub(crate) fn limits(&self) -> CallerLimits {
        self.core().table.as_ref().map(|table| table.limits()).unwrap_or_default()
    }

    /// Selects the route and the team of a request under the configuration in force.
    ///
    /// # Errors
    /// `Denied` if the configuration does not allow the request; `Unable` if there is none, or
    /// the one in force is too old for the key or for a denial.
    pub(crate) fn select(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(RouteMatch, Arc<RouteTable>), Refused> {
        let core = self.core();
        let now = self.clock.uptime();
        let freshness = core.operator.freshness();
        let table = core.table.as_ref().ok_or(Failure::StaleConfiguration)?;
        match table.select(host, path, key) {
            Ok(selected) => {
                let bound = self.settings.revocation_bound.mul_f64(FRESH_PART);
                let fresh = selected.team.is_none() || freshness.is_within(bound, now);
                fresh.then_some(()).ok_or(Failure::StaleConfiguration)?;
                Ok((selected, Arc::clone(table)))
            }
            Err(denial) => {
                let certain = freshness.is_within(CERTAIN_AGE, now);
                certain.then_some(()).ok_or(Failure::StaleConfiguration)?;
                Err(denial.into())
            }
        }
    }

    /// Records a request of a caller for the retry budget of its service.
    pub(crate) fn count_request(&self, service: &str) {
        let now = self.clock.now();
        let mut core = self.core();
        let window = core.retries.entry(service.to_owned()).or_default();
        window.record_request(&self.settings.retry_settings, now);
    }

    /// Takes a retry from the budget of a service; returns whether it allows one.
    pub(crate) fn withdraw_retry(&self, service: &Service) -> bool {
        let (now, entries) = (self.clock.now(), self.entries());
        let mut core = self.core();
        let window = core.retries.entry(service.id.clone()).or_default();
        window.try_withdraw(&self.settings.retry_settings, entries, now)
    }

    /// Returns whether the retry budget of a service allows a retry.
    pub(crate) fn may_retry(&self, service: &Service) -> bool {
        let (now, entries) = (self.clock.now(), self.entries());
        let core = self.core();
        let window = core.retries.get(&service.id);
        window.is_some_and(|window| window.allows(&self.settings.retry_settings, entries, now))
    }

    /// Returns whether the gateway can serve requests with keys.
    pub(crate) fn is_able(&self) -> bool {
        let core = self.core();
        let bound = self.settings.revocation_bound.mul_f64(FRESH_PART);
        core.table.is_some()
            && core.members.revision() > 0
            && core.operator.freshness().is_within(bound, self.clock.uptime())
    }

    /// Waits until a configuration is in force.
    pub(crate) async fn configured(&self) {
        let mut version = self.version.subscribe();
        if version.wait_for(|version| *version > 0).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Has the tasks of the other entries exchange at once.
    pub(crate) fn tell_peers(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Records that the process ends.
    pub(crate) fn begin_stop(&self) {
        self.core().stopping = true;
    }
}
