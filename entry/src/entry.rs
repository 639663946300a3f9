//! State of an entry and its decisions under one lock.

use crate::{known::KnownTargets, settings::Settings};
use fulmarhead_lib::{
    clock::SharedClock,
    config::{ActiveConfig, Adoption, Bundle, Fleet},
    cost::Cost,
    ids::{LeaseId, ModelId, Revision, TargetId},
    limits::{PrefillLimiter, RetryBudget, RetrySettings, TeamLimiter},
    outcome::{Reason, Refusal},
    routing::{Affinity, Backlog, Router, RouterSettings},
};
use fulmarhead_runtime::{http::Client, work::decode_load};
use hyper::HeaderMap;
use log::{error, info};
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

/// Time between two looks at whether an agent still reports.
const LOST_INTERVAL: Duration = Duration::from_millis(500);

/// Leases that wait to be released.
const RELEASE_QUEUE: usize = 4_096;

/// A lease to release at the agent of a target.
pub(crate) type Release = (TargetId, LeaseId);

/// An entry.
pub struct Entry {
    /// Settings of the process.
    pub settings: Settings,
    pub(crate) clock: SharedClock,
    pub(crate) client: Client,
    pub(crate) revision: watch::Sender<Revision>,
    pub(crate) releases: mpsc::Sender<Release>,
    core: Mutex<Core>,
}

/// What the decisions of an entry work on.
pub(crate) struct Core {
    pub(crate) view: ActiveConfig,
    pub(crate) known: KnownTargets,
    pub(crate) router: Router,
    pub(crate) teams: TeamLimiter,
    pub(crate) retries: RetryBudget,
    pub(crate) affinity: Affinity,
    pub(crate) flows: BTreeMap<ModelId, Flow>,
    pub(crate) stopping: bool,
}

/// What one entry sends to the engines of one model.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flow {
    pub(crate) backlog: Backlog,
    pub(crate) reserve: PrefillLimiter,
}

impl Core {
    /// Takes over a configuration.
    fn configure(&mut self, fleet: &Fleet) {
        self.known.retain(fleet);
        self.router.configure(fleet.entries.len(), fleet.policy.long_share);
        let teams: BTreeSet<&str> = fleet.teams.iter().map(|team| &*team.id).collect();
        self.teams.retain(|team| teams.contains(team));
    }
}

/// The queue of leases to release, for the task that works it off.
#[derive(Clone)]
pub struct ReleaseQueue(pub(crate) Arc<tokio::sync::Mutex<mpsc::Receiver<Release>>>);

impl Entry {
    /// Returns an entry that starts, and the queue of its releases.
    pub fn new(settings: Settings, clock: SharedClock) -> (Arc<Self>, ReleaseQueue) {
        let router = RouterSettings {
            policy: settings.policy,
            zone: settings.zone.clone(),
            ..RouterSettings::default()
        };
        let core = Core {
            view: ActiveConfig::default(),
            known: KnownTargets::default(),
            router: Router::new(router),
            teams: TeamLimiter::default(),
            retries: RetryBudget::new(RetrySettings::default()),
            affinity: Affinity::default(),
            flows: BTreeMap::new(),
            stopping: false,
        };
        let (releases, queue) = mpsc::channel(RELEASE_QUEUE);
        let entry = Self {
            settings,
            clock,
            client: Client::default(),
            revision: watch::Sender::new(0),
            releases,
            core: Mutex::new(core),
        };
        (Arc::new(entry), ReleaseQueue(Arc::new(tokio::sync::Mutex::new(queue))))
    }

    /// Locks the state; never held across an await.
    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("no holder of the lock panics")
    }

    /// Records the load in the headers of an agent's answer; `taken` is the cost of the attempt
    /// if the agent has taken it and its load shows that.
    pub(crate) fn observe(&self, target: &str, headers: &HeaderMap, taken: Option<Cost>) {
        if let Some(load) = decode_load(headers) {
            self.core().known.load(target, load, taken, self.clock.now());
        }
    }

    /// Waits until the agent of `target` has not reported for so long that its work is lost.
    ///
    /// A connection to a process that was paused or cut off gives no error by itself.
    pub(crate) async fn target_lost(&self, target: &str) {
        loop {
            sleep(LOST_INTERVAL).await;
            if self.core().known.is_lost(target, self.clock.now()) {
                return;
            }
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn fleet(&self) -> Result<Arc<Fleet>, Refusal> {
        self.core().view.fleet().ok_or(Refusal::not_run(Reason::NoConfiguration))
    }

    /// Puts a configuration in force if it is valid and newer.
    pub fn adopt(&self, bundle: Bundle) -> Revision {
        let offered = bundle.revision;
        let mut core = self.core();
        let result = core.view.offer(bundle);
        let revision = core.view.revision();
        if let (Ok(Adoption::Adopted), Some(fleet)) = (&result, core.view.fleet()) {
            core.configure(&fleet);
        }
        drop(core);
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

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Waits until a configuration is in force.
    pub(crate) async fn configured(&self) {
        let mut revision = self.revision.subscribe();
        if revision.wait_for(|revision| *revision > 0).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Records that the entry ends.
    pub(crate) fn begin_stop(&self) {
        self.core().stopping = true;
    }

    /// Releases leases soon; what a full queue drops expires at the agent.
    pub(crate) fn release(&self, leases: Vec<Release>) {
        for lease in leases {
            let _ = self.releases.try_send(lease);
        }
    }
}
