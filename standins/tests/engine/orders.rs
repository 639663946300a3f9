//! Orders, fencing numbers and weights.

use crate::calls::{Target, paused, settings};
use axum::http::{Method, StatusCode};
use fulmarhead_runtime::{
    clock::SystemClock,
    http::{Server, ServerSettings},
    supervisor::Supervisor,
};
use serde_json::{Value, json};
use standins::{
    engine::{Engine, EngineSettings, draw_weights},
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
    paused(async {
        let target = Target::new(EngineSettings { ignore_fencing, ..settings() });
        assert_eq!(target.call(Method::POST, "/orders", set_role(8)).await.0, StatusCode::ACCEPTED);
        assert_eq!(target.call(Method::POST, "/orders", set_role(7)).await.0, status);
        let load = target.engine.load();
        assert_eq!((load.role.as_str(), load.fencing), (role, 8));
    });
}

cases! {
    check_fencing {
        /// Guards against an old agent that overrules its successor.
        old_number_is_refused: (false, StatusCode::CONFLICT, "role-8"),
        engine_can_ignore_numbers: (true, StatusCode::ACCEPTED, "role-7"),
    }
}

fn load_model(version: &str) -> Value {
    json!({
        "fencing": 1,
        "order": { "kind": "load_model", "model": "assistant", "version": version },
    })
}

/// Guards against an order that is done at once, before its result can show.
#[test]
fn loading_takes_time() {
    paused(async {
        let target = Target::new(settings());
        target.call(Method::POST, "/orders", load_model("2")).await;
        sleep(Duration::from_millis(900)).await;
        assert_eq!(target.engine.load().models[0].version, "1");
        sleep(Duration::from_millis(200)).await;
        assert_eq!(target.engine.load().models[0].version, "2");
    });
}

/// Guards against an engine that gives up when the weight store is at its limit.
///
/// It runs on real time, since it uses sockets: the second read is refused for up to 0.5 s.
#[tokio::test]
async fn weights_are_drawn_within_the_limit() {
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
        .permanent("weights", move |stop| draw_weights(Arc::clone(&loader), address, stop));
    let stop = CancellationToken::new();
    let start = Instant::now();
    let target = Target::of(engine);
    let test = async {
        target.call(Method::POST, "/orders", load_model("2")).await;
        target.call(Method::POST, "/orders", load_model("3")).await;
        target.engine.loaded("assistant", "3").await;
        stop.cancel();
    };
    let (result, ()) = tokio::join!(root.run(stop.clone()), test);
    result.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(500));
}
