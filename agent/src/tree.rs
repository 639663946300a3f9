//! Listeners, supervisor tree and life cycle of an agent.

use crate::{
    agent::{Agent, CleanupQueue},
    rollout::roll_out,
    seeds::{read_config_service, sync_with_seed},
    settings::Settings,
    target::{free_unused_resources, monitor, run_cleanups},
    work,
};
use fulmarhead_lib::{clock::SharedClock, config::TargetKind};
use fulmarhead_runtime::{
    control::{ControlHandler, ControlServer},
    http::{Server, ServerSettings},
    ops::{self, StateDump},
    process::{Process, Readiness, Serving, Starting, wait_stop},
    supervisor::{Supervisor, TaskResult},
    telemetry::MetricsHandle,
};
use std::{future::pending, io, sync::Arc};
use tokio::{net::TcpListener, sync::watch};
use tokio_util::sync::CancellationToken;

/// Bound listeners of an agent: for work, control messages and operators.
///
/// The addresses are bound exclusively, so that a second agent of the same target fails to start.
#[derive(Clone, Debug)]
pub struct Listeners {
    work: Arc<TcpListener>,
    control: Arc<TcpListener>,
    ops: Arc<TcpListener>,
}

impl Listeners {
    /// Creates the listeners from sockets that are already bound, so that their addresses are known
    /// before the agent starts.
    pub fn from_bound(work: TcpListener, control: TcpListener, ops: TcpListener) -> Self {
        Self { work: Arc::new(work), control: Arc::new(control), ops: Arc::new(ops) }
    }

    /// Binds the addresses in `settings`.
    ///
    /// # Errors
    ///
    /// Returns the error of the first address that can't be bound, such as one that is in use.
    pub async fn bind(settings: &Settings) -> io::Result<Self> {
        Ok(Self::from_bound(
            TcpListener::bind(settings.work_address).await?,
            TcpListener::bind(settings.control_address).await?,
            TcpListener::bind(settings.ops_address).await?,
        ))
    }
}

/// Runs an agent until `shutdown` is cancelled and its work has finished or the stop timeout has
/// passed.
///
/// # Errors
///
/// Returns an error if the tasks of the agent fail too often.
pub async fn run(
    settings: Settings,
    listeners: Listeners,
    clock: SharedClock,
    metrics: Option<MetricsHandle>,
    shutdown: CancellationToken,
) -> TaskResult {
    let readiness = Readiness::default();
    let (agent, queue) = Agent::new(settings, Arc::clone(&clock));
    let process = Process::new(readiness.clone());
    let supervisor = supervisor(&agent, queue, listeners, readiness, metrics);
    let (stop, failing) = (CancellationToken::new(), supervisor.failing());
    tokio::select! {
        result = supervisor.run(stop.clone()) => result,
        never = run_lifecycle(&agent, process, shutdown, failing, &stop) => never,
    }
}

/// Moves the process through the states of its life cycle: starting, serving, draining and stopped.
///
/// Never returns; [`run`] returns when the supervisor tree has stopped. `failing` says that the tree
/// stops by itself.
async fn run_lifecycle(
    agent: &Agent,
    starting: Process<Starting>,
    shutdown: CancellationToken,
    failing: CancellationToken,
    stop: &CancellationToken,
) -> TaskResult {
    let draining = tokio::select! {
        () = agent.wait_ready() => {
            let serving = starting.serve();
            tokio::select! {
                () = wait_stop(&shutdown, &failing) => {}
                () = update_readiness(&serving, agent.ready.subscribe()) => {}
            }
            serving.drain()
        }
        () = wait_stop(&shutdown, &failing) => starting.drain(),
    };
    agent.begin_stop();
    agent.drain().await;
    draining.stop(stop);
    pending().await
}

/// Updates the readiness of the process when that of the target changes.
async fn update_readiness(serving: &Process<Serving>, mut ready: watch::Receiver<bool>) {
    loop {
        serving.set_ready(*ready.borrow_and_update());
        if ready.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the supervisor of all tasks of an agent.
fn supervisor(
    agent: &Arc<Agent>,
    queue: CleanupQueue,
    listeners: Listeners,
    readiness: Readiness,
    metrics: Option<MetricsHandle>,
) -> Supervisor {
    let name = format!("agent {}", agent.settings.target);
    let mut supervisor =
        Supervisor::new(name, Arc::clone(&agent.clock)).stop_timeout(agent.settings.stop_timeout);

    let state: Arc<dyn StateDump> = Arc::clone(agent) as Arc<dyn StateDump>;
    supervisor = supervisor.permanent("operators", move |stop| {
        let router = ops::router(readiness.clone(), metrics.clone(), Arc::clone(&state));
        Server::new(Arc::clone(&listeners.ops), router, ServerSettings::default()).run(stop)
    });
    let handler: Arc<dyn ControlHandler> = Arc::clone(agent) as Arc<dyn ControlHandler>;
    supervisor = supervisor.permanent("control", move |stop| {
        ControlServer::new(Arc::clone(&listeners.control)).run(Arc::clone(&handler), stop)
    });
    supervisor = add_config_tasks(supervisor, agent);
    supervisor = add_target_tasks(supervisor, agent, queue);
    let agent = Arc::clone(agent);
    supervisor.permanent("work", move |stop| {
        let router = work::router(&agent);
        Server::new(Arc::clone(&listeners.work), router, ServerSettings::default()).run(stop)
    })
}

fn add_config_tasks(mut supervisor: Supervisor, agent: &Arc<Agent>) -> Supervisor {
    if let Some(address) = agent.settings.service_address {
        let agent = Arc::clone(agent);
        supervisor = supervisor.permanent("service", move |stop| {
            read_config_service(Arc::clone(&agent), address, stop)
        });
    }
    for &seed in &agent.settings.seeds {
        let agent = Arc::clone(agent);
        let name = format!("seed {seed}");
        supervisor =
            supervisor.permanent(name, move |stop| sync_with_seed(Arc::clone(&agent), seed, stop));
    }
    supervisor
}

fn add_target_tasks(supervisor: Supervisor, agent: &Arc<Agent>, queue: CleanupQueue) -> Supervisor {
    let monitor_agent = Arc::clone(agent);
    let rollout_agent = Arc::clone(agent);
    let supervisor = supervisor
        .permanent("monitor", move |stop| monitor(Arc::clone(&monitor_agent), stop))
        .permanent("rollout", move |stop| roll_out(Arc::clone(&rollout_agent), stop));
    if agent.settings.kind == TargetKind::Application {
        return supervisor;
    }
    let cleanup_agent = Arc::clone(agent);
    let lease_agent = Arc::clone(agent);
    supervisor
        .permanent("cleanup", move |stop| {
            run_cleanups(Arc::clone(&cleanup_agent), queue.clone(), stop)
        })
        .permanent("leases", move |stop| free_unused_resources(Arc::clone(&lease_agent), stop))
}
