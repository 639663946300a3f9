//! State of an agent and its decisions under one lock.

use crate::settings::Settings;
use fulmarhead_lib::{
    admission::{AdmissionController, AdmissionSettings, AgentStatus, CapSettings, Phase},
    clock::{MonotonicWallClock, SharedClock},
    config::{ActiveConfig, Adoption, Bundle},
    control::{Load, Progress, Report},
    ids::{Incarnation, LeaseId, RequestId, Revision, Tokens},
    keys::{KeyLedger, KeySettings},
    lease::{LeaseLedger, LeaseSettings},
    release::{Rollout, Stage},
};
use fulmarhead_runtime::{
    http::Client,
    platform::engine::{EngineClient, EngineLoad},
    supervisor::Connections,
};
use log::{error, info, warn};
use std::{
    collections::BTreeMap,
    future::pending,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};
use uuid::Uuid;

/// Streams and leases that wait for the engine to drop them.
const CLEANUP_QUEUE_LENGTH: usize = 4_096;

/// Time between two looks at whether work still runs.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Most calls under a key that run at once.
const MAX_KEYED_CALLS: usize = 1_024;

/// Something that the engine holds and nobody needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cleanup {
    /// A stream whose reader is gone.
    Stream(RequestId),
    /// The memory of a lease that has ended.
    Lease(LeaseId),
}

/// An agent.
pub struct Agent {
    /// Settings of the process.
    pub settings: Settings,
    /// Life of this agent.
    pub incarnation: Incarnation,
    pub(crate) clock: SharedClock,
    pub(crate) client: Client,
    pub(crate) engine: EngineClient,
    /// Whether the target was read and a configuration is in force.
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) settled_keys: watch::Sender<u64>,
    /// Whether the target can't be read for so long that running work counts as lost.
    pub(crate) target_lost: watch::Sender<bool>,
    pub(crate) cleanups: mpsc::Sender<Cleanup>,
    keyed_calls: Connections,
    core: Mutex<Core>,
}

/// What the decisions of an agent work on.
pub(crate) struct Core {
    pub(crate) config: ActiveConfig,
    pub(crate) admission: AdmissionController,
    pub(crate) keys: KeyLedger,
    pub(crate) leases: LeaseLedger,
    pub(crate) load: EngineLoad,
    /// The rollout, from the first reading of the target on.
    pub(crate) rollout: Option<Rollout>,
    /// Whether the target was read since the start of the agent or its last long pause.
    pub(crate) target_read: bool,
    /// Whether the process ends.
    pub(crate) stopping: bool,
    /// Last tick of the monitor.
    pub(crate) last_check: Instant,
    /// Streams whose reader went away, with the time at which they are cancelled.
    pub(crate) kept_streams: BTreeMap<RequestId, Instant>,
    /// Whether the process was paused and no peer has compared revisions since.
    pub(crate) unsynced: bool,
    /// Last time an entry compared revisions with this agent.
    pub(crate) last_sync: Option<Instant>,
}

impl Agent {
    /// Returns an agent that starts, and the queue of its cleanups.
    pub fn new(settings: Settings, clock: SharedClock) -> (Arc<Self>, CleanupQueue) {
        let now = clock.now();
        let incarnation = Uuid::new_v4().as_u64_pair().0;
        let wall = MonotonicWallClock::new(&*clock);
        let cap = CapSettings {
            cold: settings.cold_cap,
            warm: settings.warm_cap,
            ..CapSettings::default()
        };
        let admission = AdmissionSettings { cap, ..AdmissionSettings::default() };
        let target = settings.target.clone();
        let core = Core {
            config: ActiveConfig::default(),
            admission: AdmissionController::new(admission, now),
            keys: KeyLedger::new(target, incarnation, KeySettings::default(), wall),
            leases: LeaseLedger::new(LeaseSettings::default(), 0),
            load: EngineLoad::default(),
            rollout: None,
            target_read: false,
            stopping: false,
            last_check: now,
            kept_streams: BTreeMap::new(),
            unsynced: false,
            last_sync: None,
        };
        let client = Client::default();
        let (cleanups, queue) = mpsc::channel(CLEANUP_QUEUE_LENGTH);
        let agent = Self {
            incarnation,
            clock,
            engine: EngineClient::new(settings.target_address, client.clone()),
            client,
            ready: watch::Sender::new(false),
            settled_keys: watch::Sender::new(0),
            target_lost: watch::Sender::new(false),
            cleanups,
            keyed_calls: Connections::new(MAX_KEYED_CALLS),
            core: Mutex::new(core),
            settings,
        };
        (Arc::new(agent), CleanupQueue(Arc::new(tokio::sync::Mutex::new(queue))))
    }

    /// Locks the state; never held across an await.
    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("no holder of the lock panics")
    }

    /// Returns the state with the phase as of now.
    pub(crate) fn current_core(&self) -> MutexGuard<'_, Core> {
        let mut core = self.core();
        let phase = core.phase(&self.settings.target, self.clock.now());
        core.admission.set_phase(phase);
        core
    }

    /// Puts a configuration in force if it is valid and newer.
    pub fn adopt(&self, bundle: Bundle) -> Revision {
        let mut core = self.core();
        let offered = bundle.revision;
        match core.config.offer(bundle) {
            Ok(Adoption::Adopted) => {
                core.unsynced = false;
                info!(revision = offered; "configuration adopted");
                if let Some(fleet) = core.config.fleet() {
                    core.admission.set_long_share(fleet.policy.long_share);
                }
            }
            Ok(_) => core.unsynced = false,
            Err(error) => error!(revision = offered, error:%; "configuration refused"),
        }
        core.config.revision()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.core().config.revision()
    }

    /// Stops to take new work.
    pub fn begin_stop(&self) {
        self.core().stopping = true;
    }

    /// Returns the state for entries.
    pub fn report(&self) -> Report {
        let core = self.current_core();
        let fleet = core.config.fleet();
        let own = fleet.as_ref().and_then(|fleet| fleet.target(&self.settings.target));
        Report {
            target: self.settings.target.clone(),
            incarnation: self.incarnation,
            revision: core.config.revision(),
            phase: core.admission.phase(),
            models: core.load.models.iter().map(|loaded| loaded.model.clone()).collect(),
            application: own.and_then(|target| target.application.clone()),
            load: core.load_report(),
            progress: core.progress(),
        }
    }

    /// Runs a call under its key in a task that outlives the connection of its entry.
    pub(crate) fn spawn_keyed_call(&self, call: impl Future<Output = ()> + Send + 'static) {
        self.keyed_calls.spawn_queued(call);
    }

    /// Waits until no work runs, at most for the time that the settings allow.
    ///
    /// New work is refused meanwhile rather than left without an answer.
    pub(crate) async fn drain(&self) {
        let idle = async {
            self.keyed_calls.finish().await;
            while self.core().admission.running() > 0 {
                sleep(DRAIN_INTERVAL).await;
            }
        };
        if timeout(self.settings.stop_timeout, idle).await.is_err() {
            let running = self.core().admission.running();
            warn!(running; "work did not finish in time; entries have to resume it elsewhere");
        }
    }

    /// Tells the waiting connections that a key was settled.
    pub(crate) fn notify_settled(&self) {
        self.settled_keys.send_modify(|count| *count += 1);
    }

    /// Waits until the target was read and a configuration is in force.
    pub(crate) async fn wait_ready(&self) {
        let mut able = self.ready.subscribe();
        if able.wait_for(|able| *able).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Waits until the target counts as lost.
    pub(crate) async fn wait_target_lost(&self) {
        let mut lost = self.target_lost.subscribe();
        if lost.wait_for(|lost| *lost).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Asks the engine to drop something; a full queue leaves it to the engine's own limits.
    pub(crate) fn queue_cleanup(&self, cleanup: Cleanup) {
        let _ = self.cleanups.try_send(cleanup);
    }
}

impl Core {
    /// Returns the memory for work without a lease; unlimited for applications.
    pub(crate) fn available_tokens(&self, now: Instant) -> Tokens {
        if self.load.kv_total == 0 { Tokens::MAX } else { self.leases.available(now) }
    }

    fn phase(&self, target: &str, now: Instant) -> Phase {
        let status = AgentStatus {
            stopping: self.stopping,
            target_read: self.target_read,
            check_age: now.saturating_duration_since(self.last_check),
            unsynced: self.unsynced,
            changing: self.is_changing(),
        };
        Phase::from_status(status, self.config.fleet().as_deref(), target)
    }

    /// Removes and returns the held streams whose reader did not come back in time.
    pub(crate) fn take_expired_streams(&mut self, now: Instant) -> Vec<RequestId> {
        self.kept_streams
            .extract_if(.., |_, until| *until <= now)
            .map(|(request, _)| request)
            .collect()
    }

    /// Returns whether what the agent believes is current enough to change its target.
    pub(crate) fn may_roll_out(&self, target: &str, now: Instant) -> bool {
        !self.stopping && self.phase(target, now) != Phase::Starting
    }

    fn is_changing(&self) -> bool {
        self.rollout.as_ref().is_some_and(|rollout| rollout.stage() == Stage::Changing)
    }

    fn progress(&self) -> Progress {
        let serving = self.admission.phase() == Phase::Serving;
        match &self.rollout {
            Some(rollout) => rollout.progress(serving),
            None => Progress { serving, ..Progress::default() },
        }
    }

    /// Returns the load for entries.
    pub(crate) fn load_report(&self) -> Load {
        let queue = self.admission.queue();
        Load {
            running: self.admission.running(),
            cap: self.admission.limit(),
            prefill: queue.total(),
            medium_prefill: queue.medium,
            long_prefill: queue.long,
            kv_used: self.leases.used() + self.admission.unleased_usage(),
            kv_total: self.load.kv_total,
            prefill_rate: self.load.prefill_rate,
        }
    }
}

/// The queue of cleanups, for the task that works it off.
#[derive(Clone)]
pub struct CleanupQueue(pub(crate) Arc<tokio::sync::Mutex<mpsc::Receiver<Cleanup>>>);
