//! Tests of orders, fencing tokens and weight downloads.

use crate::calls::{TestEngine, run_paused, settings};
use axum::http::{Method, StatusCode};
use fulmarhead_runtime::{
    clock::SystemClock,
    http::{Server, ServerSettings},
    supervisor::Supervisor,
};
use serde_json::{Value, json};
use standins::{
    engine::{Engine, EngineSettings, download_weights},
    weight_store::{WeightSettings, WeightStore},
};
use std::{sync::Arc, time::Duration};
use testutils::cases;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

fn set_role(fencing: u64) -> Value {
    json!({ "fencing": fencing, "order": { "kind": "set_role", "role": format!("role-{fencing}") } })
}

fn check_fencing(ignore_fencing: bool, status: StatusCode, role: &str) {
    run_paused(async {
        let target = TestEngine::new(EngineSettings { ignore_fencing, ..settings() });
        assert_eq!(target.call(Method::POST, "/orders", set_role(8)).await.0, StatusCode::ACCEPTED);
        assert_eq!(target.call(Method::POST, "/orders", set_role(7)).await.0, status);
        let load = target.engine.load();
        assert_eq!((load.role.as_str(), load.fencing), (role, 8));
    });
}

cases! {
    check_fencing {
        /// Guards against an outdated agent that overrides the orders of its successor.
        outdated_token_is_refused: (false, StatusCode::CONFLICT, "role-8"),
        fencing_can_be_ignored: (true, StatusCode::ACCEPTED, "role-7"),
    }
}

fn load_model(version: &str) -> Value {
    json!({
        "fencing": 1,
        "order": { "kind": "load_model", "model": "assistant", "version": version },
    })
}

/// Guards against an order that takes effect without its load time.
#[test]
fn loading_takes_time() {
    run_paused(async {
        let target = TestEngine::new(settings());
        target.call(Method::POST, "/orders", load_model("2")).await;
        sleep(Duration::from_millis(900)).await;
        assert_eq!(target.engine.load().models[0].version, "1");
        sleep(Duration::from_millis(200)).await;
        assert_eq!(target.engine.load().models[0].version, "2");
    });
}

/// Guards against an engine that does not retry when the weight store refuses at its rate limit.
///
/// Runs in real time, since it uses sockets: the second download is refused for up to 0.5 s.
#[tokio::test]
async fn weights_are_downloaded_within_rate_limit() {
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
    let address = listener.local_addr().unwrap();
    let limit = WeightSettings { bytes: 1_000, rate: 2.0, burst: 1.0 };
    let store = WeightStore::new(limit, SystemClock::shared()).router();
    let load_time = Duration::ZERO;
    let engine =
        Engine::new(EngineSettings { weight_store: Some(address), load_time, ..settings() });
    let loader = Arc::clone(&engine);
    let root = Supervisor::new("test", SystemClock::shared())
        .permanent("store", move |stop| {
            let settings = ServerSettings::default();
            Server::new(Arc::clone(&listener), store.clone(), settings).run(stop)
        })
        .permanent("weights", move |stop| download_weights(Arc::clone(&loader), address, stop));
    let stop = CancellationToken::new();
    let start = Instant::now();
    let target = TestEngine::from_engine(engine);
    let test = async {
        target.call(Method::POST, "/orders", load_model("2")).await;
        target.call(Method::POST, "/orders", load_model("3")).await;
        target.engine.wait_loaded("assistant", "3").await;
        stop.cancel();
    };
    let (result, ()) = tokio::join!(root.run(stop.clone()), test);
    result.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(500));
}
