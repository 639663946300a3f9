//! Supervisor tree and life cycle of an entry.

use crate::{
    callers,
    entry::{Entry, LeaseReleaseQueue},
    peers::{release_leases, run_peer_tasks},
    settings::Settings,
    watcher::watch,
};
use fulmarhead_lib::{clock::SharedClock, limits::connection_limit};
use fulmarhead_runtime::{
    control::{ControlHandler, ControlServer},
    http::{Server, ServerSettings, bind_callers},
    ops::{self, StateDump},
    process::{Process, Readiness, Starting, wait_stop},
    supervisor::{Supervisor, TaskResult},
    telemetry::MetricsHandle,
};
use std::{future::pending, io, sync::Arc, time::Duration};
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

/// Bound listeners of an entry: for callers, control messages and operators.
#[derive(Clone, Debug)]
pub struct Listeners {
    callers: Arc<TcpListener>,
    control: Arc<TcpListener>,
    ops: Arc<TcpListener>,
}

impl Listeners {
    /// Creates the listeners from sockets that are already bound, so that their addresses are known
    /// before the entry starts.
    pub fn from_bound(callers: TcpListener, control: TcpListener, ops: TcpListener) -> Self {
        Self { callers: Arc::new(callers), control: Arc::new(control), ops: Arc::new(ops) }
    }

    /// Binds the addresses in `settings`.
    ///
    /// # Errors
    ///
    /// Returns the error of the first address that can't be bound.
    pub async fn bind(settings: &Settings) -> io::Result<Self> {
        let memory = settings.memory_bytes;
        Ok(Self::from_bound(
            bind_callers(
                settings.caller_address,
                memory,
                server_settings(settings).max_connections,
            )?,
            TcpListener::bind(settings.control_address).await?,
            TcpListener::bind(settings.ops_address).await?,
        ))
    }
}

/// Runs an entry until `shutdown` is cancelled and its requests have finished.
///
/// # Errors
///
/// Returns an error if the tasks of the entry fail too often.
pub async fn run(
    settings: Settings,
    listeners: Listeners,
    clock: SharedClock,
    metrics: Option<MetricsHandle>,
    shutdown: CancellationToken,
) -> TaskResult {
    let readiness = Readiness::default();
    let (entry, queue) = Entry::new(settings, clock);
    let process = Process::new(readiness.clone());
    let supervisor = supervisor(&entry, queue, listeners, readiness, metrics);
    let (stop, failing) = (CancellationToken::new(), supervisor.failing());
    tokio::select! {
        result = supervisor.run(stop.clone()) => result,
        never = run_lifecycle(&entry, process, shutdown, failing, &stop) => never,
    }
}

/// Moves the process through the states of its life cycle: starting, serving, draining and stopped.
///
/// Never returns; [`run`] returns when the supervisor tree has stopped. `failing` says that the tree
/// stops by itself.
async fn run_lifecycle(
    entry: &Entry,
    starting: Process<Starting>,
    shutdown: CancellationToken,
    failing: CancellationToken,
    stop: &CancellationToken,
) -> TaskResult {
    let draining = tokio::select! {
        () = entry.wait_configured() => {
            let serving = starting.serve();
            wait_stop(&shutdown, &failing).await;
            serving.drain()
        }
        () = wait_stop(&shutdown, &failing) => starting.drain(),
    };
    // The load balancer sends new requests until it detects that the entry is not ready. A tree that
    // fails accepts none.
    let drain_time = match failing.is_cancelled() {
        true => Duration::ZERO,
        false => entry.settings.drain_time,
    };
    let schedule = entry.begin_stop(drain_time);
    sleep(drain_time).await;
    draining.stop(stop);
    sleep(schedule.remaining(entry.clock.now())).await;
    entry.end_requests();
    pending().await
}

/// Returns the limits of the server for callers.
fn server_settings(settings: &Settings) -> ServerSettings {
    let defaults = ServerSettings::default();
    let max_connections = connection_limit(settings.memory_bytes, defaults.max_connections);
    ServerSettings { max_connections, ..defaults }
}

/// Returns the supervisor of all tasks of an entry.
fn supervisor(
    entry: &Arc<Entry>,
    queue: LeaseReleaseQueue,
    listeners: Listeners,
    readiness: Readiness,
    metrics: Option<MetricsHandle>,
) -> Supervisor {
    let name = format!("entry {}", entry.settings.id);
    let supervisor =
        Supervisor::new(name, Arc::clone(&entry.clock)).stop_timeout(entry.settings.stop_timeout);
    let state: Arc<dyn StateDump> = Arc::clone(entry) as Arc<dyn StateDump>;
    let handler: Arc<dyn ControlHandler> = Arc::clone(entry) as Arc<dyn ControlHandler>;
    let caller_settings = server_settings(&entry.settings);
    let [watcher, peers, releaser, callers] = std::array::from_fn(|_| Arc::clone(entry));
    supervisor
        .permanent("operators", move |stop| {
            let router = ops::router(readiness.clone(), metrics.clone(), Arc::clone(&state));
            Server::new(Arc::clone(&listeners.ops), router, ServerSettings::default()).run(stop)
        })
        .permanent("control", move |stop| {
            ControlServer::new(Arc::clone(&listeners.control)).run(Arc::clone(&handler), stop)
        })
        .permanent("watcher", move |stop| watch(Arc::clone(&watcher), stop))
        .permanent("peers", move |stop| run_peer_tasks(Arc::clone(&peers), stop))
        .permanent("releases", move |stop| {
            release_leases(Arc::clone(&releaser), queue.clone(), stop)
        })
        .permanent("callers", move |stop| {
            let router = callers::router(&callers);
            let server = Server::new(Arc::clone(&listeners.callers), router, caller_settings);
            server.with_bodies(callers.bodies.clone()).run(stop)
        })
}
