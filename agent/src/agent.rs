//! State of an agent. All its decisions are made under one lock.

use crate::settings::Settings;
use fulmarhead_lib::{
    admission::{AdmissionController, AdmissionSettings, AgentStatus, CapSettings, Phase},
    clock::{MonotonicWallClock, SharedClock},
    config::{ActiveConfig, Adoption, Bundle},
    control::{Load, Progress, Report},
    forward::StopSchedule,
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
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

/// Maximum number of cleanups that wait to be sent to the engine.
const CLEANUP_QUEUE_CAPACITY: usize = 4_096;

/// Interval between two checks for running work during a drain.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of calls with an idempotency key that run concurrently.
const MAX_KEYED_CALLS: usize = 1_024;

/// Cleanup of an engine resource that is no longer needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cleanup {
    /// Cancels a stream whose reader disconnected.
    Stream(RequestId),
    /// Frees the memory of a lease that has ended.
    Lease(LeaseId),
}

/// The state that all tasks of an agent share.
pub struct Agent {
    /// Settings that the process was started with.
    pub settings: Settings,
    /// Random number that identifies this run of the process.
    pub incarnation: Incarnation,
    pub(crate) clock: SharedClock,
    pub(crate) client: Client,
    /// Client for work at the target, which may repeat an earlier response on a kept connection.
    pub(crate) target_client: Client,
    pub(crate) engine: EngineClient,
    /// Whether the target was read and a configuration is active.
    pub(crate) ready: watch::Sender<bool>,
    /// Number of calls with an idempotency key whose result is known; a change wakes the tasks that
    /// wait for a result.
    pub(crate) settled_keys: watch::Sender<u64>,
    /// Whether so many readings of the target failed that its running work counts as lost.
    pub(crate) target_lost: watch::Sender<bool>,
    /// Cancelled when running work has to end, because the process does.
    pub(crate) end_work: CancellationToken,
    pub(crate) cleanups: mpsc::Sender<Cleanup>,
    keyed_calls: Connections,
    state: Mutex<AgentState>,
}

/// The mutable state of an agent, on which its decisions are based.
pub(crate) struct AgentState {
    pub(crate) config: ActiveConfig,
    pub(crate) admission: AdmissionController,
    pub(crate) keys: KeyLedger,
    pub(crate) leases: LeaseLedger,
    pub(crate) load: EngineLoad,
    /// The rollout; `None` until the target was read and a configuration is active.
    pub(crate) rollout: Option<Rollout>,
    /// Whether the last reading of the target succeeded and the process was not paused since.
    pub(crate) target_read: bool,
    /// Whether the process is shutting down.
    pub(crate) stopping: bool,
    /// Time of the last tick of the monitor.
    pub(crate) last_tick: Instant,
    /// Streams that are kept for their reader to reconnect, and when they are cancelled.
    pub(crate) kept_streams: BTreeMap<RequestId, Instant>,
    /// Whether the configuration may be outdated because the process was paused.
    pub(crate) unsynced: bool,
    /// Last time that an entry compared configurations with this agent.
    pub(crate) last_sync: Option<Instant>,
}

impl Agent {
    /// Creates an agent that has neither a configuration nor a reading of its target, and the queue
    /// of its cleanups.
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
        let state = AgentState {
            config: ActiveConfig::default(),
            admission: AdmissionController::new(admission, now),
            keys: KeyLedger::new(target, incarnation, KeySettings::default(), wall),
            leases: LeaseLedger::new(LeaseSettings::default(), 0),
            load: EngineLoad::default(),
            rollout: None,
            target_read: false,
            stopping: false,
            last_tick: now,
            kept_streams: BTreeMap::new(),
            unsynced: false,
            last_sync: None,
        };
        let client = Client::default();
        let (cleanups, queue) = mpsc::channel(CLEANUP_QUEUE_CAPACITY);
        let agent = Self {
            incarnation,
            clock,
            engine: EngineClient::new(settings.target_address, client.clone()),
            client,
            target_client: Client::without_pool(),
            ready: watch::Sender::new(false),
            settled_keys: watch::Sender::new(0),
            target_lost: watch::Sender::new(false),
            end_work: CancellationToken::new(),
            cleanups,
            keyed_calls: Connections::new(MAX_KEYED_CALLS),
            state: Mutex::new(state),
            settings,
        };
        (Arc::new(agent), CleanupQueue(Arc::new(tokio::sync::Mutex::new(queue))))
    }

    /// Locks the state. The guard must not be held across an await.
    pub(crate) fn state(&self) -> MutexGuard<'_, AgentState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Locks the state and updates the phase of the target.
    pub(crate) fn current_state(&self) -> MutexGuard<'_, AgentState> {
        let mut state = self.state();
        let phase = state.phase(&self.settings.target, self.clock.now());
        state.admission.set_phase(phase);
        state
    }

    /// Adopts a configuration if it is valid and newer than the active one.
    ///
    /// Returns the revision that is active afterwards.
    pub fn adopt(&self, bundle: Bundle) -> Revision {
        let mut state = self.state();
        let offered = bundle.revision;
        match state.config.offer(bundle) {
            Ok(Adoption::Adopted) => {
                state.unsynced = false;
                info!(revision = offered; "configuration adopted");
                if let Some(fleet) = state.config.fleet() {
                    state.admission.set_long_share(fleet.policy.long_share);
                }
            }
            Ok(_) => state.unsynced = false,
            Err(error) => error!(revision = offered, error:%; "configuration refused"),
        }
        state.config.revision()
    }

    /// Returns the active revision, 0 before the first configuration.
    pub fn revision(&self) -> Revision {
        self.state().config.revision()
    }

    /// Starts to refuse new work.
    pub fn begin_stop(&self) {
        self.state().stopping = true;
    }

    /// Returns the report on the state of the target for entries and other agents.
    pub fn report(&self) -> Report {
        let state = self.current_state();
        let fleet = state.config.fleet();
        let own_target = fleet.as_ref().and_then(|fleet| fleet.target(&self.settings.target));
        Report {
            target: self.settings.target.clone(),
            incarnation: self.incarnation,
            revision: state.config.revision(),
            phase: state.admission.phase(),
            models: state.load.models.iter().map(|loaded| loaded.model.clone()).collect(),
            application: own_target.and_then(|target| target.application.clone()),
            load: state.load_report(),
            progress: state.progress(),
        }
    }

    /// Spawns a task that runs a call with an idempotency key. The task continues if the entry
    /// disconnects.
    pub(crate) fn spawn_keyed_call(&self, call: impl Future<Output = ()> + Send + 'static) {
        self.keyed_calls.spawn_queued(call);
    }

    /// Waits until no work is running, and ends what still runs shortly before the stop timeout has
    /// passed, so that the entries get responses.
    ///
    /// The server stays open in the meantime, so that new work is refused instead of getting no
    /// response.
    pub(crate) async fn drain(&self) {
        let idle = async {
            self.keyed_calls.finish().await;
            while self.state().admission.running() > 0 {
                sleep(DRAIN_CHECK_INTERVAL).await;
            }
        };
        let now = self.clock.now();
        let schedule = StopSchedule::with_delays(now, Duration::ZERO, self.settings.stop_timeout);
        if timeout(schedule.remaining(now), idle).await.is_err() {
            let running = self.state().admission.running();
            warn!(running; "work is still running after the stop timeout; ending it");
            self.end_work.cancel();
        }
    }

    /// Wakes the tasks that wait for the result of a call with an idempotency key.
    pub(crate) fn notify_settled(&self) {
        self.settled_keys.send_modify(|count| *count += 1);
    }

    /// Waits until the target was read and a configuration is active.
    pub(crate) async fn wait_ready(&self) {
        let mut ready = self.ready.subscribe();
        if ready.wait_for(|ready| *ready).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Waits until the target counts as lost.
    pub(crate) async fn wait_target_lost(&self) {
        let mut target_lost = self.target_lost.subscribe();
        if target_lost.wait_for(|lost| *lost).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Queues a cleanup for the engine.
    ///
    /// If the queue is full, the cleanup is dropped. The memory of a lease is then found by
    /// [`free_unused_resources`](crate::target::free_unused_resources); a stream is left to the
    /// limits of the engine.
    pub(crate) fn queue_cleanup(&self, cleanup: Cleanup) {
        let _ = self.cleanups.try_send(cleanup);
    }
}

impl AgentState {
    /// Returns the memory that work without a lease may use; unlimited for applications.
    pub(crate) fn available_tokens(&self, now: Instant) -> Tokens {
        if self.load.kv_total == 0 { Tokens::MAX } else { self.leases.available(now) }
    }

    fn phase(&self, target: &str, now: Instant) -> Phase {
        let status = AgentStatus {
            stopping: self.stopping,
            target_read: self.target_read,
            check_age: now.saturating_duration_since(self.last_tick),
            unsynced: self.unsynced,
            changing: self.is_target_changing(),
        };
        Phase::from_status(status, self.config.fleet().as_deref(), target)
    }

    /// Removes and returns the kept streams whose reader did not reconnect in time.
    pub(crate) fn take_expired_streams(&mut self, now: Instant) -> Vec<RequestId> {
        self.kept_streams
            .extract_if(.., |_, expires_at| *expires_at <= now)
            .map(|(request, _)| request)
            .collect()
    }

    /// Returns whether the state of the agent is current enough to change its target.
    pub(crate) fn may_roll_out(&self, target: &str, now: Instant) -> bool {
        !self.stopping && self.phase(target, now) != Phase::Starting
    }

    fn is_target_changing(&self) -> bool {
        self.rollout.as_ref().is_some_and(|rollout| rollout.stage() == Stage::Changing)
    }

    fn progress(&self) -> Progress {
        let serving = self.admission.phase() == Phase::Serving;
        match &self.rollout {
            Some(rollout) => rollout.progress(serving),
            None => Progress { serving, ..Progress::default() },
        }
    }

    /// Returns the load of the target as reported to entries.
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

/// Receiving end of the queue of cleanups, for the task that sends them to the engine.
#[derive(Clone)]
pub struct CleanupQueue(pub(crate) Arc<tokio::sync::Mutex<mpsc::Receiver<Cleanup>>>);
