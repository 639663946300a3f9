//! The supervisor tree of a gateway.

use crate::{
    gateway::Gateway,
    leases::{LeaseQueue, keep_leases},
    peers::{PeerServer, keep_peers},
    reload::reload,
    serve::CallerServer,
    store::{Part, watch},
};
use axum::{Router, http::StatusCode, routing::get};
use fulmarhead_lib::clock::SharedClock;
use fulmarhead_platform::{NodeSettings, READINESS_PATH};
use fulmarhead_runtime::{
    http::{Server, ServerSettings},
    ops::{self, StateDump},
    process::{Process, Readiness, Serving, Starting},
    supervisor::{Supervisor, TaskResult},
    telemetry::MetricsHandle,
};
use log::warn;
use std::{future::pending, io, sync::Arc, time::Duration};
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

/// Time after SIGTERM in which new connections are still taken: the balancer asks once a second
/// and needs two answers to send none.
const LEAVE_TIME: Duration = Duration::from_millis(2_600);

/// Part of the time between SIGTERM and SIGKILL after which answers that still run are cut.
const FINISH_PART: f64 = 0.94;

/// Time between two looks at whether the gateway can serve.
const ABLE_INTERVAL: Duration = Duration::from_millis(250);

/// The bound listeners of a gateway.
#[derive(Clone, Debug)]
pub struct Listeners {
    callers: Arc<TcpListener>,
    control: Arc<TcpListener>,
    ready: Arc<TcpListener>,
    ops: Option<Arc<TcpListener>>,
}

impl Listeners {
    /// Takes listeners that are bound already.
    pub fn from_bound(callers: TcpListener, ready: TcpListener, control: TcpListener) -> Self {
        let [callers, ready, control] = [callers, ready, control].map(Arc::new);
        Self { callers, control, ready, ops: None }
    }

    /// Binds the addresses of `settings`, and `ops_port` beside them for operators.
    ///
    /// # Errors
    /// If an address of the settings can't be bound. Without the operators' port the gateway
    /// serves all the same.
    pub async fn bind(settings: &NodeSettings, ops_port: Option<u16>) -> io::Result<Self> {
        let bound = Self::from_bound(
            TcpListener::bind(settings.caller_address).await?,
            TcpListener::bind(settings.readiness_address).await?,
            TcpListener::bind(settings.control_address).await?,
        );
        let Some(port) = ops_port else { return Ok(bound) };
        match TcpListener::bind((settings.readiness_address.ip(), port)).await {
            Ok(ops) => Ok(Self { ops: Some(Arc::new(ops)), ..bound }),
            Err(error) => {
                warn!(port, error:%; "operators' port can't be bound");
                Ok(bound)
            }
        }
    }
}

/// Runs a gateway until `shutdown` is cancelled and its requests are finished.
///
/// # Errors
/// If its tasks fail too often.
pub async fn run(
    settings: NodeSettings,
    listeners: Listeners,
    clock: SharedClock,
    metrics: Option<MetricsHandle>,
    shutdown: CancellationToken,
) -> TaskResult {
    let readiness = Readiness::default();
    let (gateway, leases) = Gateway::new(settings, clock);
    let process = Process::new(readiness.clone());
    let root = root(&gateway, leases, listeners, readiness, metrics);
    let stop = CancellationToken::new();
    tokio::select! {
        result = root.run(stop.clone()) => result,
        never = live(&gateway, process, shutdown, &stop) => never,
    }
}

/// Takes the process through its life cycle; the end of the tree ends it.
async fn live(
    gateway: &Gateway,
    starting: Process<Starting>,
    shutdown: CancellationToken,
    stop: &CancellationToken,
) -> TaskResult {
    let draining = tokio::select! {
        () = gateway.configured() => {
            let serving = starting.serve();
            tokio::select! {
                () = shutdown.cancelled() => {}
                () = follow_ability(gateway, &serving) => {}
            }
            serving.drain()
        }
        () = shutdown.cancelled() => starting.drain(),
    };
    gateway.begin_stop();
    sleep(LEAVE_TIME).await;
    draining.stop(stop);
    pending().await
}

/// Shows in the readiness whether the gateway can serve requests.
async fn follow_ability(gateway: &Gateway, serving: &Process<Serving>) {
    loop {
        serving.set_ready(gateway.is_able());
        sleep(ABLE_INTERVAL).await;
    }
}

fn root(
    gateway: &Arc<Gateway>,
    queue: LeaseQueue,
    listeners: Listeners,
    readiness: Readiness,
    metrics: Option<MetricsHandle>,
) -> Supervisor {
    let finish = gateway.settings.termination_grace.mul_f64(FINISH_PART).saturating_sub(LEAVE_TIME);
    let name = format!("gateway {}", gateway.settings.vm_name);
    let root = Supervisor::new(name, Arc::clone(&gateway.clock)).stop_timeout(finish);
    let state: Arc<dyn StateDump> = Arc::clone(gateway) as Arc<dyn StateDump>;
    let [operator, members, peers, control, settings, leases, callers] =
        std::array::from_fn(|_| Arc::clone(gateway));
    let probe = ready(readiness.clone());
    let root = match listeners.ops {
        Some(ops) => root.permanent("operators", move |stop| {
            let router = ops::router(readiness.clone(), metrics.clone(), Arc::clone(&state));
            Server::new(Arc::clone(&ops), router, ServerSettings::default()).run(stop)
        }),
        None => root,
    };
    root.permanent("readiness", move |stop| {
        let settings = ServerSettings::default();
        Server::new(Arc::clone(&listeners.ready), probe.clone(), settings).run(stop)
    })
    .permanent("operator watch", move |stop| watch(Arc::clone(&operator), Part::Operator, stop))
    .permanent("member watch", move |stop| watch(Arc::clone(&members), Part::Members, stop))
    .permanent("control", move |stop| {
        PeerServer::new(Arc::clone(&listeners.control)).run(Arc::clone(&control), stop)
    })
    .permanent("peers", move |stop| keep_peers(Arc::clone(&peers), stop))
    .permanent("settings", move |stop| reload(Arc::clone(&settings), stop))
    .permanent("leases", move |stop| keep_leases(Arc::clone(&leases), queue.clone(), stop))
    .permanent("callers", move |stop| {
        CallerServer::new(Arc::clone(&listeners.callers)).run(Arc::clone(&callers), stop)
    })
}

/// Returns the route that the balancer asks.
fn ready(readiness: Readiness) -> Router {
    let answer = move || {
        let readiness = readiness.clone();
        async move {
            match readiness.is_ready() {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            }
        }
    };
    Router::new().route(READINESS_PATH, get(answer))
}
