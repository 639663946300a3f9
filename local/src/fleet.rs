//! Starts the processes of a local fleet as children of one supervisor.

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

/// Longest time for work to finish at the end.
const STOP_BOUND: Duration = Duration::from_secs(10);

/// Why a local fleet could not be started.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A port could not be bound.
    #[error("port can't be bound: {0}")]
    Bind(#[from] io::Error),
    /// The configuration can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// A local fleet; its processes run once [`Fleet::run`] is awaited.
pub struct Fleet {
    handle: FleetHandle,
    root: Supervisor,
}

/// Addresses and stand-ins of a local fleet.
#[derive(Clone)]
pub struct FleetHandle {
    /// Addresses of the entries for callers.
    pub callers: Vec<SocketAddr>,
    /// Addresses of the entries and agents for operators.
    pub ops: Vec<SocketAddr>,
    /// Address of the configuration service.
    pub service: SocketAddr,
    /// The first configuration.
    pub document: config::Fleet,
    /// Values of the configuration service.
    pub store: Arc<ConfigStore>,
    /// Model engines.
    pub engines: Vec<Arc<Engine>>,
    /// Application workers.
    pub workers: Vec<Arc<Application>>,
}

impl FleetHandle {
    /// Publishes a configuration.
    pub fn publish(&self, document: &config::Fleet) -> Result<(), FleetError> {
        self.store.publish(document.revision, &serde_json::to_string(document)?);
        Ok(())
    }
}

struct Bound {
    work: TcpListener,
    control: TcpListener,
    ops: TcpListener,
}

impl Bound {
    async fn new() -> io::Result<Self> {
        Ok(Self { work: bind().await?, control: bind().await?, ops: bind().await? })
    }

    fn addresses(&self) -> io::Result<AgentAddresses> {
        Ok(AgentAddresses { work: self.work.local_addr()?, control: self.control.local_addr()? })
    }
}

/// Binds all ports, publishes the first configuration and prepares the supervisor tree.
pub async fn start(plan: Plan, metrics: Option<MetricsHandle>) -> Result<Fleet, FleetError> {
    let clock = SystemClock::shared();
    let store = Arc::new(ConfigStore::default());
    let mut root = Supervisor::new("fleet", Arc::clone(&clock)).stop_timeout(STOP_BOUND);
    let (service, listener) = listen_on(plan.service_port).await?;
    root = serve(root, "configuration service", listener, store.router());

    let mut builder = Builder { clock, metrics, service, root, ops: Vec::new() };
    let mut engines = Vec::new();
    let mut engine_agents = Vec::new();
    for index in 0..plan.engines {
        let engine = Engine::new(plan.engine.clone());
        let id = engine_id(index);
        engine_agents.push(builder.target(id, TargetKind::Engine, engine.router()).await?);
        engines.push(engine);
    }
    let mut workers = Vec::new();
    let mut worker_agents = Vec::new();
    for index in 0..plan.workers {
        let worker = Application::new(plan.worker);
        let id = worker_id(index);
        worker_agents.push(builder.target(id, TargetKind::Application, worker.router()).await?);
        workers.push(worker);
    }
    let mut callers = Vec::new();
    let mut controls = Vec::new();
    for index in 0..plan.entries {
        let (caller, control) = builder.entry(&plan, index).await?;
        callers.push(caller);
        controls.push(control);
    }
    let document = plan.document(&engine_agents, &worker_agents, &controls);
    store.publish(document.revision, &serde_json::to_string(&document)?);
    let Builder { root, ops, .. } = builder;
    let handle = FleetHandle { callers, ops, service, document, store, engines, workers };
    Ok(Fleet { handle, root })
}

impl Fleet {
    /// Returns the addresses and stand-ins.
    pub fn handle(&self) -> FleetHandle {
        self.handle.clone()
    }

    /// Runs all processes until `shutdown` is cancelled.
    pub async fn run(self, shutdown: CancellationToken) -> TaskResult {
        self.root.run(shutdown).await
    }
}

struct Builder {
    clock: SharedClock,
    metrics: Option<MetricsHandle>,
    service: SocketAddr,
    root: Supervisor,
    ops: Vec<SocketAddr>,
}

impl Builder {
    /// Adds a target and its agent; returns the addresses of the agent.
    async fn target(
        &mut self,
        id: String,
        kind: TargetKind,
        router: Router,
    ) -> Result<AgentAddresses, FleetError> {
        let (target_address, listener) = listen().await?;
        let bound = Bound::new().await?;
        let addresses = bound.addresses()?;
        let ops = bound.ops.local_addr()?;
        self.ops.push(ops);
        let settings = agent::Settings {
            target: id.clone(),
            kind,
            target_address,
            work_address: addresses.work,
            control_address: addresses.control,
            ops_address: ops,
            service_address: Some(self.service),
            seeds: Vec::new(),
            cold_cap: 4,
            warm_cap: 64,
            stop_timeout: STOP_BOUND,
            log_level: LevelFilter::Off,
        };
        let root = std::mem::replace(&mut self.root, Supervisor::new("", Arc::clone(&self.clock)));
        let root = serve(root, &format!("target {id}"), listener, router);
        let listeners = agent::Listeners::from_bound(bound.work, bound.control, bound.ops);
        let (clock, metrics) = (Arc::clone(&self.clock), self.metrics.clone());
        self.root = root.permanent(format!("agent {id}"), move |stop| {
            let (settings, listeners) = (settings.clone(), listeners.clone());
            agent::run(settings, listeners, Arc::clone(&clock), metrics.clone(), stop)
        });
        Ok(addresses)
    }

    /// Adds an entry; returns its addresses for callers and for control.
    async fn entry(
        &mut self,
        plan: &Plan,
        index: usize,
    ) -> Result<(SocketAddr, SocketAddr), FleetError> {
        let bound = Bound::new().await?;
        let addresses = bound.addresses()?;
        let ops = bound.ops.local_addr()?;
        self.ops.push(ops);
        let settings = entry::Settings {
            id: entry_id(index),
            zone: plan.zone(index),
            caller_address: addresses.work,
            control_address: addresses.control,
            ops_address: ops,
            service_address: self.service,
            seeds: Vec::new(),
            policy: plan.policy,
            drain_time: Duration::ZERO,
            stop_timeout: STOP_BOUND,
            log_level: LevelFilter::Off,
        };
        let listeners = entry::Listeners::from_bound(bound.work, bound.control, bound.ops);
        let (clock, metrics) = (Arc::clone(&self.clock), self.metrics.clone());
        let root = std::mem::replace(&mut self.root, Supervisor::new("", Arc::clone(&self.clock)));
        self.root = root.permanent(entry_id(index), move |stop| {
            let (settings, listeners) = (settings.clone(), listeners.clone());
            entry::run(settings, listeners, Arc::clone(&clock), metrics.clone(), stop)
        });
        Ok((addresses.work, addresses.control))
    }
}

/// Adds a stand-in.
fn serve(root: Supervisor, name: &str, listener: TcpListener, router: Router) -> Supervisor {
    let listener = Arc::new(listener);
    root.permanent(name, move |stop| {
        let server = Server::new(Arc::clone(&listener), router.clone(), ServerSettings::default());
        server.run(stop)
    })
}

async fn listen() -> io::Result<(SocketAddr, TcpListener)> {
    listen_on(0).await
}

async fn listen_on(port: u16) -> io::Result<(SocketAddr, TcpListener)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await?;
    Ok((listener.local_addr()?, listener))
}

async fn bind() -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
}
