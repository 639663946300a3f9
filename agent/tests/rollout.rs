//! Agents bring their engines to a release note, in turn.

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
const LOAD_TIME: Duration = Duration::from_millis(700);

/// Events of a stream and the time that an engine takes for one. A stream takes 4 s, in which an
/// agent makes several rounds.
const EVENTS: usize = 40;
const EVENT_TIME: Duration = Duration::from_millis(100);

/// Longest time for a rollout or the start of an agent.
const BOUND: Duration = Duration::from_secs(60);

/// What all engines together have done.
#[derive(Clone, Debug, Default)]
struct Tally {
    loading: BTreeSet<usize>,
    most: usize,
    order: Vec<usize>,
    /// Streams that ran when an engine got an order.
    interrupted: u32,
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
            .route("/kv", get(|| async { Json(AllocationList { allocations: Vec::new() }) }))
            .route("/orders", post(Self::order))
            .route("/v1/completions", post(Self::complete))
            .with_state(self)
    }

    /// Answers with one event after another.
    async fn complete(State(engine): State<Self>) -> Body {
        engine.load.lock().unwrap().running += 1;
        let events = stream::unfold(0, move |position| {
            let engine = engine.clone();
            async move {
                if position == EVENTS {
                    engine.load.lock().unwrap().running -= 1;
                    return None;
                }
                sleep(EVENT_TIME).await;
                Some((Ok::<_, Infallible>(format!("id: {position}\ndata: x\n\n")), position + 1))
            }
        });
        Body::from_stream(events)
    }

    async fn order(State(engine): State<Self>, Json(request): Json<OrderRequest>) -> StatusCode {
        let Order::LoadModel { version, .. } = request.order else {
            return StatusCode::BAD_REQUEST;
        };
        let last = std::mem::replace(&mut engine.load.lock().unwrap().fencing, request.fencing);
        if request.fencing < last {
            return StatusCode::CONFLICT;
        }
        let running = engine.load.lock().unwrap().running;
        engine.tally.send_modify(|tally| {
            tally.interrupted += running;
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
    let listeners = Listeners::from_bound(a, b, c);
    tokio::spawn(run(settings, listeners, SystemClock::shared(), None, CancellationToken::new()));
    json!({ "id": target, "zone": "a", "kind": "engine", "models": ["m"],
        "work": work, "control": control })
}

fn document(revision: u64, targets: &[Value], release: bool) -> String {
    let note = json!({ "number": 1, "max_unavailable": 1,
        "models": [{ "action": "changed", "model": "m", "version": "2" }] });
    json!({
        "revision": revision,
        "zones": [{ "id": "a" }],
        "models": [{ "id": "m", "max_tokens": 1_000 }],
        "targets": targets,
        "entries": [],
        "teams": [],
        "release": release.then_some(note),
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
    store.publish(1, &document(1, &targets, true));
    let mut seen = tally.subscribe();
    let finished = seen.wait_for(|tally| tally.order.len() == targets.len());
    let tally = timeout(BOUND, finished).await.unwrap().unwrap().clone();
    assert_eq!((tally.most, tally.order), (1, vec![0, 1, 2]));
}

/// Sends a stream to an agent as an entry does, again while the agent starts.
async fn send(client: &Client, work: SocketAddr) -> Response<Incoming> {
    let headers = WorkHeaders {
        request: RequestId::new_v4(),
        attempt: 1,
        team: "t".to_owned(),
        remaining: BOUND,
        priority: 0,
        revision: 1,
        cost: Cost { prompt: 1, output: 1 },
        lease: None,
        keep_stream: false,
        resume_from: None,
    };
    let headers = headers.to_headers().unwrap();
    let endpoint = Endpoint::new(work, "/work/completions");
    let mut ticks = interval(EVENT_TIME);
    loop {
        ticks.tick().await;
        let sent = client.send(Method::POST, &endpoint, headers.clone(), "{}".into()).await;
        if let Some(answer) = sent.ok().filter(|answer| answer.status().is_success()) {
            return answer;
        }
    }
}

/// Guards against an order that reaches an engine while a stream of it runs.
#[tokio::test(flavor = "multi_thread")]
async fn engine_gets_no_order_before_its_stream_has_ended() {
    let tally = watch::Sender::new(Tally::default());
    let store = Arc::new(ConfigStore::default());
    let service = serve(store.router()).await;
    let target = start(0, FakeEngine::new(0, tally.clone()), service).await;
    let (work, control) = (address(&target, "work"), address(&target, "control"));
    let targets = [target];
    let first = document(1, &targets, false);
    store.publish(1, &first);
    let answer = timeout(BOUND, send(&Client::default(), work)).await.unwrap();

    // An agent reads the service once; later revisions come from entries.
    let peer = Peer::connect(control, SystemClock::shared()).await.unwrap();
    let text = document(2, &targets, true).into();
    assert_eq!(peer.adopt(Bundle { revision: 2, text }).await.unwrap(), 2);
    let body = read_body(answer.into_body(), 1 << 20).await.unwrap();
    let events = String::from_utf8(body.to_vec()).unwrap().matches("data:").count();

    let mut seen = tally.subscribe();
    let finished = seen.wait_for(|tally| tally.order.len() == 1);
    let tally = timeout(BOUND, finished).await.unwrap().unwrap().clone();
    assert_eq!((events, tally.interrupted), (EVENTS, 0));
}

fn address(target: &Value, field: &str) -> SocketAddr {
    target[field].as_str().unwrap().parse().unwrap()
}
