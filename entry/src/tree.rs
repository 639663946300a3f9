//! The supervisor tree of an entry.

use crate::{
    callers,
    entry::{Entry, ReleaseQueue},
    peers::{keep_peers, release_leases},
    settings::Settings,
    watcher::watch,
};
use fulmarhead_lib::clock::SharedClock;
use fulmarhead_runtime::{
    control::{ControlHandler, ControlServer},
    http::{Server, ServerSettings},
    ops::{self, StateDump},
    process::{Process, Readiness, Starting},
    supervisor::{Supervisor, TaskResult},
    telemetry::MetricsHandle,
};
use std::{future::pending, io, sync::Arc};
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

/// The bound listeners of an entry.
#[derive(Clone, Debug)]
pub struct Listeners {
    callers: Arc<TcpListener>,
    control: Arc<TcpListener>,
    ops: Arc<TcpListener>,
}

impl Listeners {
    /// Takes listeners that are bound already.
    pub fn from_bound(callers: TcpListener, control: TcpListener, ops: TcpListener) -> Self {
        Self { callers: Arc::new(callers), control: Arc::new(control), ops: Arc::new(ops) }
    }

    /// Binds the addresses of `settings`.
    pub async fn bind(settings: &Settings) -> io::Result<Self> {
        Ok(Self::from_bound(
            TcpListener::bind(settings.callers).await?,
            TcpListener::bind(settings.control).await?,
            TcpListener::bind(settings.ops).await?,
        ))
    }
}

/// Runs an entry until `shutdown` is cancelled and its requests are finished.
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
    let root = root(&entry, queue, listeners, readiness, metrics);
    let stop = CancellationToken::new();
    tokio::select! {
        result = root.run(stop.clone()) => result,
        never = live(&entry, process, shutdown, &stop) => never,
    }
}

/// Takes the process through its life cycle; the end of the tree ends it.
async fn live(
    entry: &Entry,
    starting: Process<Starting>,
    shutdown: CancellationToken,
    stop: &CancellationToken,
) -> TaskResult {
    let draining = tokio::select! {
        () = entry.configured() => {
            let serving = starting.serve();
            shutdown.cancelled().await;
            serving.drain()
        }
        () = shutdown.cancelled() => starting.drain(),
    };
    entry.begin_stop();
    // The balancer sends new requests until it has seen that the entry is not ready.
    sleep(entry.settings.drain_time).await;
    draining.stop(stop);
    pending().await
}

fn root(
    entry: &Arc<Entry>,
    queue: ReleaseQueue,
    listeners: Listeners,
    readiness: Readiness,
    metrics: Option<MetricsHandle>,
) -> Supervisor {
    let name = format!("entry {}", entry.settings.id);
    let root =
        Supervisor::new(name, Arc::clone(&entry.clock)).stop_timeout(entry.settings.stop_bound);
    let state: Arc<dyn StateDump> = Arc::clone(entry) as Arc<dyn StateDump>;
    let handler: Arc<dyn ControlHandler> = Arc::clone(entry) as Arc<dyn ControlHandler>;
    let [watcher, peers, releaser, callers] = std::array::from_fn(|_| Arc::clone(entry));
    root.permanent("operators", move |stop| {
        let router = ops::router(readiness.clone(), metrics.clone(), Arc::clone(&state));
        Server::new(Arc::clone(&listeners.ops), router, ServerSettings::default()).run(stop)
    })
    .permanent("control", move |stop| {
        ControlServer::new(Arc::clone(&listeners.control)).run(Arc::clone(&handler), stop)
    })
    .permanent("watcher", move |stop| watch(Arc::clone(&watcher), stop))
    .permanent("peers", move |stop| keep_peers(Arc::clone(&peers), stop))
    .permanent("releases", move |stop| release_leases(Arc::clone(&releaser), queue.clone(), stop))
    .permanent("callers", move |stop| {
        let router = callers::router(&callers);
        Server::new(Arc::clone(&listeners.callers), router, ServerSettings::default()).run(stop)
    })
}
