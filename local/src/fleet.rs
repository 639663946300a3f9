//! Startup of a local fleet, whose processes run as children of one supervisor.

use crate::plan::{AgentAddresses, Plan, engine_id, entry_id, worker_id};
use axum::Router;
use fulmarhead_agent as agent;
use fulmarhead_entry as entry;
use fulmarhead_lib::{
    clock::SharedClock,
    config::{self, TargetKind},
};
use fulmarhead_runtime::{
    clock::SystemClock,
    http::{Server, ServerSettings},
    supervisor::{Supervisor, TaskResult},
    telemetry::MetricsHandle,
};
use log::LevelFilter;
use standins::{application::Application, config_service::ConfigStore, engine::Engine};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Time within which work has to finish at shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Memory from which each entry derives its memory for bodies, in bytes.
const ENTRY_MEMORY_BYTES: u64 = 1 << 30;

/// Reason that a local fleet could not be started or configured.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A loopback port could not be bound.
    #[error("loopback port can't be bound: {0}")]
    Bind(#[from] io::Error),
    /// The configuration can't be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// A local fleet with all ports bound; its processes run while [`Fleet::run`] is awaited.
pub struct Fleet {
    handle: FleetHandle,
    supervisor: Supervisor,
}

/// Access to the addresses and stand-ins of a local fleet.
#[derive(Clone)]
pub struct FleetHandle {
    /// Addresses of the entries for callers.
    pub caller_addresses: Vec<SocketAddr>,
    /// Addresses of the entries and agents for operators.
    pub ops_addresses: Vec<SocketAddr>,
    /// Address of the configuration service.
    pub service_address: SocketAddr,
    /// Configuration of the first revision.
    pub document: config::Fleet,
    /// Store of the configuration service.
    pub config_store: Arc<ConfigStore>,
    /// Stand-ins of the model engines, in the order of their indices.
    pub engines: Vec<Arc<Engine>>,
    /// Stand-ins of the application workers, in the order of their indices.
    pub workers: Vec<Arc<Application>>,
}

impl FleetHandle {
    /// Publishes `document` at the configuration service, or returns an error if it can't be
    /// serialized.
    pub fn publish(&self, document: &config::Fleet) -> Result<(), FleetError> {
        self.config_store.publish(document.revision, &serde_json::to_string(document)?);
        Ok(())
    }
}

/// Listeners of one entry or agent, on free loopback ports.
struct BoundListeners {
    work: TcpListener,
    control: TcpListener,
    ops: TcpListener,
}

impl BoundListeners {
    async fn new() -> io::Result<Self> {
        Ok(Self { work: bind().await?, control: bind().await?, ops: bind().await? })
    }

    fn addresses(&self) -> io::Result<AgentAddresses> {
        Ok(AgentAddresses { work: self.work.local_addr()?, control: self.control.local_addr()? })
    }
}

/// Binds all ports, publishes the first configuration and builds the supervisor tree.
///
/// Returns an error if a port can't be bound or the configuration can't be serialized.
pub async fn start(plan: Plan, metrics: Option<MetricsHandle>) -> Result<Fleet, FleetError> {
    let clock = SystemClock::shared();
    let config_store = Arc::new(ConfigStore::default());
    let mut supervisor = Supervisor::new("fleet", Arc::clone(&clock)).stop_timeout(STOP_TIMEOUT);
    let (service_address, listener) = listen_on(plan.service_port).await?;
    supervisor = add_server(supervisor, "configuration service", listener, config_store.router());

    let mut builder =
        FleetBuilder { clock, metrics, service_address, supervisor, ops_addresses: Vec::new() };
    let mut engines = Vec::new();
    let mut engine_agents = Vec::new();
    for index in 0..plan.engines {
        let engine = Engine::new(plan.engine.clone());
        let id = engine_id(index);
        engine_agents.push(builder.add_target(id, TargetKind::Engine, engine.router()).await?);
        engines.push(engine);
    }
    let mut workers = Vec::new();
    let mut worker_agents = Vec::new();
    for index in 0..plan.workers {
        let worker = Application::new(plan.worker);
        let id = worker_id(index);
        worker_agents.push(builder.add_target(id, TargetKind::Application, worker.router()).await?);
        workers.push(worker);
    }
    let mut caller_addresses = Vec::new();
    let mut control_addresses = Vec::new();
    for index in 0..plan.entries {
        let (caller, control) = builder.add_entry(&plan, index).await?;
        caller_addresses.push(caller);
        control_addresses.push(control);
    }
    let document = plan.document(&engine_agents, &worker_agents, &control_addresses);
    config_store.publish(document.revision, &serde_json::to_string(&document)?);
    let FleetBuilder { supervisor, ops_addresses, .. } = builder;
    let handle = FleetHandle {
        caller_addresses,
        ops_addresses,
        service_address,
        document,
        config_store,
        engines,
        workers,
    };
    Ok(Fleet { handle, supervisor })
}

impl Fleet {
    /// Returns a handle, which stays valid after [`Fleet::run`] has consumed the fleet.
    pub fn handle(&self) -> FleetHandle {
        self.handle.clone()
    }

    /// Runs all processes until `shutdown` is cancelled, or returns an error if one of them fails
    /// for good.
    pub async fn run(self, shutdown: CancellationToken) -> TaskResult {
        self.supervisor.run(shutdown).await
    }
}

struct FleetBuilder {
    clock: SharedClock,
    metrics: Option<MetricsHandle>,
    service_address: SocketAddr,
    supervisor: Supervisor,
    ops_addresses: Vec<SocketAddr>,
}

impl FleetBuilder {
    /// Adds a stand-in target and its agent, and returns the addresses of the agent.
    async fn add_target(
        &mut self,
        id: String,
        kind: TargetKind,
        router: Router,
    ) -> Result<AgentAddresses, FleetError> {
        let (target_address, listener) = listen().await?;
        let bound = BoundListeners::new().await?;
        let addresses = bound.addresses()?;
        let ops = bound.ops.local_addr()?;
        self.ops_addresses.push(ops);
        let settings = agent::Settings {
            target: id.clone(),
            kind,
            target_address,
            work_address: addresses.work,
            control_address: addresses.control,
            ops_address: ops,
            service_address: Some(self.service_address),
            seeds: Vec::new(),
            cold_cap: 4,
            warm_cap: 64,
            stop_timeout: STOP_TIMEOUT,
            log_level: LevelFilter::Off,
        };
        let supervisor =
            std::mem::replace(&mut self.supervisor, Supervisor::new("", Arc::clone(&self.clock)));
        let supervisor = add_server(supervisor, &format!("target {id}"), listener, router);
        let listeners = agent::Listeners::from_bound(bound.work, bound.control, bound.ops);
        let (clock, metrics) = (Arc::clone(&self.clock), self.metrics.clone());
        self.supervisor = supervisor.permanent(format!("agent {id}"), move |stop| {
            let (settings, listeners) = (settings.clone(), listeners.clone());
            agent::run(settings, listeners, Arc::clone(&clock), metrics.clone(), stop)
        });
        Ok(addresses)
    }

    /// Adds an entry, and returns its addresses for callers and for control messages.
    async fn add_entry(
        &mut self,
        plan: &Plan,
        index: usize,
    ) -> Result<(SocketAddr, SocketAddr), FleetError> {
        let bound = BoundListeners::new().await?;
        let addresses = bound.addresses()?;
        let ops = bound.ops.local_addr()?;
        self.ops_addresses.push(ops);
        let settings = entry::Settings {
            id: entry_id(index),
            zone: plan.zone(index),
            caller_address: addresses.work,
            control_address: addresses.control,
            ops_address: ops,
            service_address: self.service_address,
            seeds: Vec::new(),
            policy: plan.policy,
            affinity: plan.affinity,
            drain_time: Duration::ZERO,
            stop_timeout: STOP_TIMEOUT,
            memory_bytes: ENTRY_MEMORY_BYTES,
            log_level: LevelFilter::Off,
        };
        let listeners = entry::Listeners::from_bound(bound.work, bound.control, bound.ops);
        let (clock, metrics) = (Arc::clone(&self.clock), self.metrics.clone());
        let supervisor =
            std::mem::replace(&mut self.supervisor, Supervisor::new("", Arc::clone(&self.clock)));
        self.supervisor = supervisor.permanent(entry_id(index), move |stop| {
            let (settings, listeners) = (settings.clone(), listeners.clone());
            entry::run(settings, listeners, Arc::clone(&clock), metrics.clone(), stop)
        });
        Ok((addresses.work, addresses.control))
    }
}

/// Adds an HTTP server that serves `router` on `listener`.
fn add_server(
    supervisor: Supervisor,
    name: &str,
    listener: TcpListener,
    router: Router,
) -> Supervisor {
    let listener = Arc::new(listener);
    supervisor.permanent(name, move |stop| {
        let server = Server::new(Arc::clone(&listener), router.clone(), ServerSettings::default());
        server.run(stop)
    })
}

/// Binds a free loopback port and returns its address and listener.
async fn listen() -> io::Result<(SocketAddr, TcpListener)> {
    listen_on(0).await
}

async fn listen_on(port: u16) -> io::Result<(SocketAddr, TcpListener)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await?;
    Ok((listener.local_addr()?, listener))
}

/// Binds a free loopback port.
async fn bind() -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
}
