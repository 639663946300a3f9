//! Agents bring their engines to a release note, in turn.

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    routing::{get, post},
};
use fulmarhead_agent::{Listeners, Settings, run};
use fulmarhead_lib::{
    config::Kind,
    release::{LoadedModel, Order, OrderRequest},
};
use fulmarhead_runtime::{
    clock::SystemClock,
    platform::engine::{Allocations, EngineLoad},
};
use log::LevelFilter;
use serde_json::{Value, json};
use standins::config_service::ConfigStore;
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Time that an engine takes to load a model.
const LOAD_TIME: Duration = Duration::from_millis(700);

/// What all engines together have done.
#[derive(Clone, Debug, Default)]
struct Tally {
    loading: BTreeSet<usize>,
    most: usize,
    order: Vec<usize>,
}

#[derive(Clone)]
struct FakeEngine {
    index: usize,
    load: Arc<Mutex<EngineLoad>>,
    tally: watch::Sender<Tally>,
}

impl FakeEngine {
    fn new(index: usize, tally: watch::Sender<Tally>) -> Self {
        let model =
            LoadedModel { model: "m".to_owned(), version: "1".to_owned(), adapters: Vec::new() };
        let load = EngineLoad { kv_total: 1_000, models: vec![model], ..EngineLoad::default() };
        Self { index, load: Arc::new(Mutex::new(load)), tally }
    }

    fn router(self) -> Router {
        Router::new()
            .route(
                "/load",
                get(|State(engine): State<Self>| async move {
                    Json(engine.load.lock().unwrap().clone())
                }),
            )
            .route("/kv", get(|| async { Json(Allocations { allocations: Vec::new() }) }))
            .route("/orders", post(Self::order))
            .with_state(self)
    }

    async fn order(State(engine): State<Self>, Json(request): Json<OrderRequest>) -> StatusCode {
        let Order::LoadModel { version, .. } = request.order else {
            return StatusCode::BAD_REQUEST;
        };
        let last = std::mem::replace(&mut engine.load.lock().unwrap().fencing, request.fencing);
        if request.fencing < last {
            return StatusCode::CONFLICT;
        }
        engine.tally.send_modify(|tally| {
            tally.loading.insert(engine.index);
            tally.most = tally.most.max(tally.loading.len());
        });
        tokio::spawn(async move {
            sleep(LOAD_TIME).await;
            engine.load.lock().unwrap().models[0].version = version;
            engine.tally.send_modify(|tally| {
                tally.loading.remove(&engine.index);
                tally.order.push(engine.index);
            });
        });
        StatusCode::ACCEPTED
    }
}

async fn bind() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

async fn serve(router: Router) -> SocketAddr {
    let (address, listener) = bind().await;
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

/// Starts an agent beside `engine` and returns its entry in the document.
async fn start(index: usize, engine: FakeEngine, service: SocketAddr) -> Value {
    let target_address = serve(engine.router()).await;
    let [(work, a), (control, b), (ops, c)] = [bind().await, bind().await, bind().await];
    let target = format!("e{index}");
    let settings = Settings {
        target: target.clone(),
        kind: Kind::Engine,
        target_address,
        work,
        control,
        ops,
        service: Some(service),
        seeds: Vec::new(),
        cold_cap: 1,
        warm_cap: 1,
        stop_bound: Duration::from_secs(1),
        log_level: LevelFilter::Off,
    };
    let listeners = Listeners::from_bound(a, b, c);
    tokio::spawn(run(settings, listeners, SystemClock::shared(), None, CancellationToken::new()));
    json!({ "id": target, "zone": "a", "kind": "engine", "models": ["m"],
        "work": work, "control": control })
}

fn document(targets: &[Value]) -> String {
    json!({
        "revision": 1,
        "zones": [{ "id": "a" }],
        "models": [{ "id": "m", "max_tokens": 1_000 }],
        "targets": targets,
        "entries": [],
        "teams": [],
        "release": { "number": 1, "max_unavailable": 1,
            "models": [{ "action": "changed", "model": "m", "version": "2" }] },
    })
    .to_string()
}

/// Guards against engines of a group that load a new version at the same time, or never.
#[tokio::test(flavor = "multi_thread")]
async fn engines_of_a_group_load_one_after_another() {
    let tally = watch::Sender::new(Tally::default());
    let store = Arc::new(ConfigStore::default());
    let service = serve(store.router()).await;
    let mut targets = Vec::new();
    for index in 0..3 {
        targets.push(start(index, FakeEngine::new(index, tally.clone()), service).await);
    }
    store.publish(1, &document(&targets));
    let mut seen = tally.subscribe();
    let finished = seen.wait_for(|tally| tally.order.len() == targets.len());
    let tally = timeout(Duration::from_secs(60), finished).await.unwrap().unwrap().clone();
    assert_eq!((tally.most, tally.order), (1, vec![0, 1, 2]));
}
