//! Supervisor tree and life cycle of a gateway.

use crate::{
    gateway::{Gateway, Receivers},
    leases::maintain_leases,
    peers::{PeerServer, exchange_with_peers},
    quarantine::confirm_crashes,
    reload::reload_seeds,
    serve::{CallerServer, max_connections},
    store::{StorePart, watch_store},
};
use axum::{Router, http::StatusCode, routing::get};
use fulmarhead_lib::{clock::SharedClock, forward::StopSchedule};
use fulmarhead_platform::{NodeSettings, READINESS_PATH};
use fulmarhead_runtime::{
    http::{Server, ServerSettings, bind_callers},
    ops::{self, StateDump},
    process::{Process, Readiness, Serving, Starting, wait_stop},
    supervisor::{Supervisor, TaskResult},
    telemetry::MetricsHandle,
};
use log::warn;
use std::{future::pending, io, sync::Arc, time::Duration};
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

/// Interval at which the readiness of the gateway is updated, and its quarantine and loads are
/// reviewed.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);

/// The bound listeners of a gateway.
#[derive(Clone, Debug)]
pub struct Listeners {
    callers: Arc<TcpListener>,
    control: Arc<TcpListener>,
    readiness: Arc<TcpListener>,
    ops: Option<Arc<TcpListener>>,
}

impl Listeners {
    /// Returns listeners that are already bound, without one for operators.
    pub fn from_bound(callers: TcpListener, readiness: TcpListener, control: TcpListener) -> Self {
        let [callers, readiness, control] = [callers, readiness, control].map(Arc::new);
        Self { callers, control, readiness, ops: None }
    }

    /// Adds a listener for operators that is already bound.
    pub fn with_operators(self, operators: TcpListener) -> Self {
        Self { ops: Some(Arc::new(operators)), ..self }
    }

    /// Binds the addresses of `settings`, and `ops_port` for operators if it is set.
    ///
    /// # Errors
    ///
    /// Returns an error if an address of the settings can't be bound. If only `ops_port` can't be
    /// bound, the gateway runs without it.
    pub async fn bind(settings: &NodeSettings, ops_port: Option<u16>) -> io::Result<Self> {
        let memory = settings.memory_bytes;
        let bound = Self::from_bound(
            bind_callers(settings.caller_address, memory, max_connections(memory))?,
            TcpListener::bind(settings.readiness_address).await?,
            TcpListener::bind(settings.control_address).await?,
        );
        let Some(port) = ops_port else { return Ok(bound) };
        match TcpListener::bind((settings.readiness_address.ip(), port)).await {
            Ok(ops) => Ok(Self { ops: Some(Arc::new(ops)), ..bound }),
            Err(error) => {
                warn!(port, error:%; "can't bind the operators' port; continuing without it");
                Ok(bound)
            }
        }
    }
}

/// Runs a gateway until `shutdown` is cancelled and its requests have finished.
///
/// # Errors
///
/// Returns an error if its tasks fail too often.
pub async fn run(
    settings: NodeSettings,
    listeners: Listeners,
    clock: SharedClock,
    metrics: Option<MetricsHandle>,
    shutdown: CancellationToken,
) -> TaskResult {
    let readiness = Readiness::default();
    let (gateway, receivers) = Gateway::new(settings, clock);
    let process = Process::new(readiness.clone());
    let supervisor = supervisor(&gateway, receivers, listeners, readiness, metrics);
    let (stop, failing) = (CancellationToken::new(), supervisor.failing());
    tokio::select! {
        result = supervisor.run(stop.clone()) => result,
        never = run_lifecycle(&gateway, process, shutdown, failing, &stop) => never,
    }
}

/// Moves the process through the states of its life cycle. Does not return; the end of the
/// supervisor tree ends the process. `failing` says that the tree stops by itself.
async fn run_lifecycle(
    gateway: &Gateway,
    starting: Process<Starting>,
    shutdown: CancellationToken,
    failing: CancellationToken,
    stop: &CancellationToken,
) -> TaskResult {
    let draining = tokio::select! {
        () = gateway.wait_configured() => {
            let serving = starting.serve();
            tokio::select! {
                () = wait_stop(&shutdown, &failing) => {}
                () = update_readiness(gateway, &serving) => {}
            }
            serving.drain()
        }
        () = wait_stop(&shutdown, &failing) => starting.drain(),
    };
    let (now, grace) = (gateway.clock.now(), gateway.settings.termination_grace);
    let schedule = match failing.is_cancelled() {
        true => StopSchedule::of_failure(now, grace),
        false => StopSchedule::new(now, grace),
    };
    gateway.begin_stop(schedule);
    sleep(schedule.until_deregistered(gateway.clock.now())).await;
    draining.stop(stop);
    sleep(schedule.remaining(gateway.clock.now())).await;
    gateway.end_requests();
    pending().await
}

/// Keeps the readiness of the process equal to that of the gateway, and reviews its quarantine,
/// loads and limits.
async fn update_readiness(gateway: &Gateway, serving: &Process<Serving>) {
    loop {
        serving.set_ready(gateway.is_ready());
        gateway.review_quarantine();
        gateway.review_loads();
        gateway.review_limits();
        sleep(READINESS_INTERVAL).await;
    }
}

fn supervisor(
    gateway: &Arc<Gateway>,
    receivers: Receivers,
    listeners: Listeners,
    readiness: Readiness,
    metrics: Option<MetricsHandle>,
) -> Supervisor {
    let stop_timeout = StopSchedule::abort_delay(gateway.settings.termination_grace);
    let name = format!("gateway {}", gateway.settings.vm_name);
    let supervisor = Supervisor::new(name, Arc::clone(&gateway.clock)).stop_timeout(stop_timeout);
    let state: Arc<dyn StateDump> = Arc::clone(gateway) as Arc<dyn StateDump>;
    let [operator, members, peers, control, settings, leases, crashes, callers] =
        std::array::from_fn(|_| Arc::clone(gateway));
    let probe_router = readiness_router(readiness.clone());
    let supervisor = match listeners.ops {
        Some(ops) => supervisor.permanent("operators", move |stop| {
            let router = ops::router(readiness.clone(), metrics.clone(), Arc::clone(&state));
            Server::new(Arc::clone(&ops), router, ServerSettings::default()).run(stop)
        }),
        None => supervisor,
    };
    supervisor
        .permanent("readiness", move |stop| {
            let settings = ServerSettings::default();
            Server::new(Arc::clone(&listeners.readiness), probe_router.clone(), settings).run(stop)
        })
        .permanent("operator watch", move |stop| {
            watch_store(Arc::clone(&operator), StorePart::Operator, stop)
        })
        .permanent("member watch", move |stop| {
            watch_store(Arc::clone(&members), StorePart::Members, stop)
        })
        .permanent("control", move |stop| {
            PeerServer::new(Arc::clone(&listeners.control)).run(Arc::clone(&control), stop)
        })
        .permanent("peers", move |stop| exchange_with_peers(Arc::clone(&peers), stop))
        .permanent("settings", move |stop| reload_seeds(Arc::clone(&settings), stop))
        .permanent("leases", move |stop| {
            maintain_leases(Arc::clone(&leases), receivers.leases.clone(), stop)
        })
        .permanent("crashes", move |stop| {
            confirm_crashes(Arc::clone(&crashes), receivers.losses.clone(), stop)
        })
        .permanent("callers", move |stop| {
            let memory = callers.settings.memory_bytes;
            let server = CallerServer::new(Arc::clone(&listeners.callers), memory);
            server.run(Arc::clone(&callers), stop)
        })
}

/// Returns the router for the readiness probe of the load balancer.
fn readiness_router(readiness: Readiness) -> Router {
    let handler = move || {
        let readiness = readiness.clone();
        async move {
            match readiness.is_ready() {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            }
        }
    };
    Router::new().route(READINESS_PATH, get(handler))
}
