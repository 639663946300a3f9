//! State of an entry, behind one lock.

use crate::{prefixes::Prefixes, settings::Settings, targets::TargetRegistry};
use fulmarhead_lib::{
    clock::SharedClock,
    config::{ActiveConfig, Adoption, Bundle, Fleet},
    cost::Cost,
    forward::StopSchedule,
    ids::{LeaseId, ModelId, Revision, TargetId},
    limits::{PrefillLimiter, RetryBudget, RetrySettings, TeamLimiter},
    outcome::{Reason, Refusal},
    request::Deadline,
    routes::RetryPolicy,
    routing::{Backlog, Router, RouterSettings},
};
use fulmarhead_runtime::{
    http::{BodyBudget, Client},
    work::decode_load,
};
use hyper::HeaderMap;
use log::{error, info, warn};
use std::{
    collections::{BTreeMap, BTreeSet},
    future::pending,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// Time between two checks whether an agent still reports.
const LOST_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of leases that wait to be released.
const RELEASE_QUEUE_CAPACITY: usize = 4_096;

/// A target and the lease to release at its agent.
pub(crate) type LeaseRelease = (TargetId, LeaseId);

/// State and connections of an entry, which all its tasks share.
pub struct Entry {
    /// Settings from the command line, fixed for the lifetime of the process.
    pub settings: Settings,
    pub(crate) clock: SharedClock,
    pub(crate) client: Client,
    /// Memory for the bodies of callers.
    pub(crate) bodies: BodyBudget,
    /// Active revision, 0 before the first configuration; wakes the tasks that wait for a new one.
    pub(crate) revision: watch::Sender<Revision>,
    pub(crate) lease_releases: mpsc::Sender<LeaseRelease>,
    /// Cancelled when requests in progress have to end, because the process does.
    pub(crate) end_requests: CancellationToken,
    state: Mutex<EntryState>,
}

/// Mutable state of an entry, from which it decides on admission and routing.
pub(crate) struct EntryState {
    pub(crate) config: ActiveConfig,
    pub(crate) targets: TargetRegistry,
    pub(crate) router: Router,
    pub(crate) team_limiter: TeamLimiter,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) prefixes: Prefixes,
    pub(crate) models: BTreeMap<ModelId, ModelState>,
    /// Times of the stop, once it has begun.
    pub(crate) stop: Option<StopSchedule>,
}

/// Waiting prompts and prefill limit of one model.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelState {
    pub(crate) backlog: Backlog,
    /// Limit on the prefill that this entry sends to the engines of the model, which keeps capacity
    /// free for the loss of a zone.
    pub(crate) prefill_limiter: PrefillLimiter,
}

impl EntryState {
    /// Applies a configuration that was just adopted.
    fn configure(&mut self, fleet: &Fleet) {
        self.targets.configure(fleet);
        self.router.configure(fleet.entries.len(), fleet.policy.long_share);
        let teams: BTreeSet<&str> = fleet.teams.iter().map(|team| &*team.id).collect();
        self.team_limiter.retain(|team| teams.contains(team));
        let targets: BTreeSet<&str> = fleet.targets.iter().map(|target| &*target.id).collect();
        self.prefixes.retain_targets(|target| targets.contains(target));
    }
}

/// Receiving end of the queue of leases to release.
#[derive(Clone)]
pub struct LeaseReleaseQueue(pub(crate) Arc<tokio::sync::Mutex<mpsc::Receiver<LeaseRelease>>>);

impl Entry {
    /// Returns an entry without a configuration, and the queue of the leases that it releases.
    pub fn new(settings: Settings, clock: SharedClock) -> (Arc<Self>, LeaseReleaseQueue) {
        let router = RouterSettings {
            policy: settings.policy,
            zone: settings.zone.clone(),
            ..RouterSettings::default()
        };
        let state = EntryState {
            config: ActiveConfig::default(),
            targets: TargetRegistry::default(),
            router: Router::new(router),
            team_limiter: TeamLimiter::default(),
            retry_budget: RetryBudget::new(RetrySettings::default()),
            prefixes: Prefixes::new(settings.affinity),
            models: BTreeMap::new(),
            stop: None,
        };
        let (lease_releases, queue) = mpsc::channel(RELEASE_QUEUE_CAPACITY);
        let entry = Self {
            bodies: BodyBudget::new(settings.memory_bytes, Arc::clone(&clock)),
            settings,
            clock,
            client: Client::default(),
            revision: watch::Sender::new(0),
            lease_releases,
            end_requests: CancellationToken::new(),
            state: Mutex::new(state),
        };
        (Arc::new(entry), LeaseReleaseQueue(Arc::new(tokio::sync::Mutex::new(queue))))
    }

    /// Locks the state. The guard must not be held across an await.
    pub(crate) fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Records the load in the response headers of an agent, if there is one.
    ///
    /// `accepted_cost` is the cost of the attempt if the agent accepted it. The reported load then
    /// includes the attempt, so the entry no longer adds it.
    pub(crate) fn record_load(
        &self,
        target: &str,
        headers: &HeaderMap,
        accepted_cost: Option<Cost>,
    ) {
        if let Some(load) = decode_load(headers) {
            let mut state = self.state();
            state.prefixes.record_load(target, &load);
            state.targets.record_load(target, load, accepted_cost, self.clock.now());
        }
    }

    /// Waits until the last report of the agent of `target` is so old that its work counts as lost.
    ///
    /// Tasks that wait for a response use this, because a connection to a suspended or unreachable
    /// process does not fail by itself.
    pub(crate) async fn wait_target_lost(&self, target: &str) {
        loop {
            sleep(LOST_CHECK_INTERVAL).await;
            if self.state().targets.is_lost(target, self.clock.now()) {
                return;
            }
        }
    }

    /// Returns the active configuration, or a refusal if there is none yet.
    pub(crate) fn fleet(&self) -> Result<Arc<Fleet>, Refusal> {
        self.state().config.fleet().ok_or(Refusal::not_run(Reason::NoConfiguration))
    }

    /// Adopts a configuration if it is valid and newer than the active one.
    ///
    /// Returns the revision that is active afterwards.
    pub fn adopt(&self, bundle: Bundle) -> Revision {
        let offered = bundle.revision;
        let mut state = self.state();
        let result = state.config.offer(bundle);
        let revision = state.config.revision();
        if let (Ok(Adoption::Adopted), Some(fleet)) = (&result, state.config.fleet()) {
            state.configure(&fleet);
        }
        drop(state);
        match result {
            Ok(Adoption::Adopted) => {
                info!(revision = offered; "configuration adopted");
                metrics::gauge!("fulmarhead_revision", "entry" => self.settings.id.clone())
                    .set(revision as f64);
                self.revision.send_replace(revision);
            }
            Ok(_) => {}
            Err(error) => {
                metrics::counter!("fulmarhead_config_refused_total").increment(1);
                error!(revision = offered, error:%; "configuration refused");
            }
        }
        revision
    }

    /// Returns the active revision, 0 before the first configuration.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Waits until a configuration is active.
    pub(crate) async fn wait_configured(&self) {
        let mut revision = self.revision.subscribe();
        if revision.wait_for(|revision| *revision > 0).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Records that a stop has begun in which connections are accepted for `drain_time`, and returns
    /// its times.
    pub(crate) fn begin_stop(&self, drain_time: Duration) -> StopSchedule {
        let stop_timeout = self.settings.stop_timeout;
        let schedule = StopSchedule::with_delays(self.clock.now(), drain_time, stop_timeout);
        self.state().stop = Some(schedule);
        schedule
    }

    /// Checks whether a request that has arrived completely is taken.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the load balancer no longer sends requests to this entry, and the entry
    /// might end before `deadline`.
    pub(crate) fn check_stop(&self, deadline: Deadline) -> Result<(), Refusal> {
        // A call that may not run twice has a key, with which its caller can repeat it.
        let retry_policy = RetryPolicy::Always;
        match self.state().stop {
            Some(stop) if !stop.admits(retry_policy, deadline, self.clock.now()) => {
                Err(Refusal::not_run(Reason::ShuttingDown))
            }
            _ => Ok(()),
        }
    }

    /// Ends the requests that are still in progress, since the process is about to end.
    pub(crate) fn end_requests(&self) {
        warn!("stop timeout has passed; ending the requests that are still in progress");
        self.end_requests.cancel();
    }

    /// Queues leases for release. If the queue is full, they expire at the agent instead.
    pub(crate) fn release_leases(&self, leases: Vec<LeaseRelease>) {
        for lease in leases {
            let _ = self.lease_releases.try_send(lease);
        }
    }
}
