//! Tests of rollouts: agents change their engines to match a release note, in turn.

use axum::{
    Json, Router,
    body::Body,
    extract::State,
    http::StatusCode,
    routing::{get, post},
};
use fulmarhead_agent::{Listeners, Settings, run};
use fulmarhead_lib::{
    config::{Bundle, TargetKind},
    cost::Cost,
    ids::RequestId,
    release::{LoadedModel, Order, OrderRequest},
};
use fulmarhead_runtime::{
    clock::SystemClock,
    control::Peer,
    http::{Client, Endpoint, read_body},
    platform::engine::{AllocationList, EngineLoad},
    work::WorkHeaders,
};
use futures::stream;
use hyper::{Method, Response, body::Incoming};
use log::LevelFilter;
use serde_json::{Value, json};
use standins::config_service::ConfigStore;
use std::{
    collections::BTreeSet,
    convert::Infallible,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{interval, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Time that an engine takes to load a model.
const MODEL_LOAD_TIME: Duration = Duration::from_millis(700);

/// Number of events of a stream. A stream takes 4 s, long enough for an agent that does not wait
/// for its end to send an order.
const STREAM_EVENTS: usize = 40;

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for a rollout or the start of an agent.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Model loads of all engines together.
#[derive(Clone, Debug, Default)]
struct ModelLoadRecord {
    /// Engines that are loading a version.
    loading: BTreeSet<usize>,
    /// Maximum number of engines that were loading at the same time.
    max_loading: usize,
    /// Engines that have finished loading, in order.
    loaded: Vec<usize>,
    /// Number of streams that were running when their engine received an order.
    interrupted_streams: u32,
}

#[derive(Clone)]
struct FakeEngine {
    index: usize,
    load: Arc<Mutex<EngineLoad>>,
    record: watch::Sender<ModelLoadRecord>,
}

impl FakeEngine {
    fn new(index: usize, record: watch::Sender<ModelLoadRecord>) -> Self {
        let model =
            LoadedModel { model: "m".to_owned(), version: "1".to_owned(), adapters: Vec::new() };
        let load = EngineLoad { kv_total: 1_000, models: vec![model], ..EngineLoad::default() };
        Self { index, load: Arc::new(Mutex::new(load)), record }
    }

    fn router(self) -> Router {
        Router::new()
            .route(
                "/load",
                get(|State(engine): State<Self>| async move {
                    Json(engine.load.lock().unwrap().clone())
                }),
            )
            .route("/kv", get(|| async { Json(AllocationList { allocations: Vec::new() }) }))
            .route("/orders", post(Self::order))
            .route("/v1/completions", post(Self::complete))
            .with_state(self)
    }

    /// Responds with a stream of events at regular intervals.
    async fn complete(State(engine): State<Self>) -> Body {
        engine.load.lock().unwrap().running += 1;
        let events = stream::unfold(0, move |position| {
            let engine = engine.clone();
            async move {
                if position == STREAM_EVENTS {
                    engine.load.lock().unwrap().running -= 1;
                    return None;
                }
                sleep(EVENT_INTERVAL).await;
                Some((Ok::<_, Infallible>(format!("id: {position}\ndata: x\n\n")), position + 1))
            }
        });
        Body::from_stream(events)
    }

    async fn order(State(engine): State<Self>, Json(request): Json<OrderRequest>) -> StatusCode {
        let Order::LoadModel { version, .. } = request.order else {
            return StatusCode::BAD_REQUEST;
        };
        let previous_fencing =
            std::mem::replace(&mut engine.load.lock().unwrap().fencing, request.fencing);
        if request.fencing < previous_fencing {
            return StatusCode::CONFLICT;
        }
        let running = engine.load.lock().unwrap().running;
        engine.record.send_modify(|record| {
            record.interrupted_streams += running;
            record.loading.insert(engine.index);
            record.max_loading = record.max_loading.max(record.loading.len());
        });
        tokio::spawn(async move {
            sleep(MODEL_LOAD_TIME).await;
            engine.load.lock().unwrap().models[0].version = version;
            engine.record.send_modify(|record| {
                record.loading.remove(&engine.index);
                record.loaded.push(engine.index);
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

/// Starts an agent beside `engine` and returns its target for the configuration.
async fn start_agent(index: usize, engine: FakeEngine, service: SocketAddr) -> Value {
    let target_address = serve(engine.router()).await;
    let [(work, work_listener), (control, control_listener), (ops, ops_listener)] =
        [bind().await, bind().await, bind().await];
    let target = format!("e{index}");
    let settings = Settings {
        target: target.clone(),
        kind: TargetKind::Engine,
        target_address,
        work_address: work,
        control_address: control,
        ops_address: ops,
        service_address: Some(service),
        seeds: Vec::new(),
        cold_cap: 1,
        warm_cap: 1,
        stop_timeout: Duration::from_secs(1),
        log_level: LevelFilter::Off,
    };
    let listeners = Listeners::from_bound(work_listener, control_listener, ops_listener);
    tokio::spawn(run(settings, listeners, SystemClock::shared(), None, CancellationToken::new()));
    json!({ "id": target, "zone": "a", "kind": "engine", "models": ["m"],
        "work": work, "control": control })
}

fn configuration_document(revision: u64, targets: &[Value], with_release: bool) -> String {
    let release_note = json!({ "number": 1, "max_unavailable": 1,
        "models": [{ "action": "changed", "model": "m", "version": "2" }] });
    json!({
        "revision": revision,
        "zones": [{ "id": "a" }],
        "models": [{ "id": "m", "max_tokens": 1_000 }],
        "targets": targets,
        "entries": [],
        "teams": [],
        "release": with_release.then_some(release_note),
    })
    .to_string()
}

/// Guards against a rollout in which engines of a group load a new version at the same time, or
/// never.
#[tokio::test(flavor = "multi_thread")]
async fn engines_of_a_group_load_one_after_another() {
    let record = watch::Sender::new(ModelLoadRecord::default());
    let store = Arc::new(ConfigStore::default());
    let service = serve(store.router()).await;
    let mut targets = Vec::new();
    for index in 0..3 {
        targets.push(start_agent(index, FakeEngine::new(index, record.clone()), service).await);
    }
    store.publish(1, &configuration_document(1, &targets, true));
    let mut records = record.subscribe();
    let finished = records.wait_for(|record| record.loaded.len() == targets.len());
    let record = timeout(TEST_TIMEOUT, finished).await.unwrap().unwrap().clone();
    assert_eq!((record.max_loading, record.loaded), (1, vec![0, 1, 2]));
}

/// Sends a completion to an agent as an entry does, and repeats it while the agent starts.
async fn send_completion(client: &Client, work: SocketAddr) -> Response<Incoming> {
    let headers = WorkHeaders {
        request: RequestId::new_v4(),
        attempt: 1,
        team: "t".to_owned(),
        remaining: TEST_TIMEOUT,
        priority: 0,
        revision: 1,
        cost: Cost { prompt: 1, output: 1 },
        lease: None,
        keep_stream: false,
        resume_from: None,
    };
    let headers = headers.to_headers().unwrap();
    let endpoint = Endpoint::new(work, "/work/completions");
    let mut ticks = interval(EVENT_INTERVAL);
    loop {
        ticks.tick().await;
        let sent = client.send(Method::POST, &endpoint, headers.clone(), "{}".into()).await;
        if let Some(answer) = sent.ok().filter(|answer| answer.status().is_success()) {
            return answer;
        }
    }
}

/// Guards against an order that reaches an engine while one of its streams is running.
#[tokio::test(flavor = "multi_thread")]
async fn engine_gets_no_order_before_its_stream_has_ended() {
    let record = watch::Sender::new(ModelLoadRecord::default());
    let store = Arc::new(ConfigStore::default());
    let service = serve(store.router()).await;
    let target = start_agent(0, FakeEngine::new(0, record.clone()), service).await;
    let (work, control) = (address(&target, "work"), address(&target, "control"));
    let targets = [target];
    let first_document = configuration_document(1, &targets, false);
    store.publish(1, &first_document);
    let answer = timeout(TEST_TIMEOUT, send_completion(&Client::default(), work)).await.unwrap();

    // An agent reads the configuration service only until it has a configuration. Entries send it
    // later revisions.
    let peer = Peer::connect(control, SystemClock::shared()).await.unwrap();
    let text = configuration_document(2, &targets, true).into();
    assert_eq!(peer.adopt(Bundle { revision: 2, text }).await.unwrap(), 2);
    let body = read_body(answer.into_body(), 1 << 20).await.unwrap();
    let events = String::from_utf8(body.to_vec()).unwrap().matches("data:").count();

    let mut records = record.subscribe();
    let finished = records.wait_for(|record| record.loaded.len() == 1);
    let record = timeout(TEST_TIMEOUT, finished).await.unwrap().unwrap().clone();
    assert_eq!((events, record.interrupted_streams), (STREAM_EVENTS, 0));
}

fn address(target: &Value, field: &str) -> SocketAddr {
    target[field].as_str().unwrap().parse().unwrap()
}
