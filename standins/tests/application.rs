//! Tests of the application worker stand-in.

use axum::{
    body::Body,
    http::{Method, Request, StatusCode},
};
use fulmarhead_runtime::{
    clock::SystemClock,
    http::{Server, ServerSettings},
    supervisor::Supervisor,
};
use futures::future::join_all;
use http_body_util::BodyExt;
use standins::{
    application::{Application, ApplicationFaults, ApplicationSettings},
    cold::ColdSettings,
};
use std::{sync::Arc, time::Duration};
use testutils::cases;
use tokio::{
    net::TcpListener,
    runtime::Builder,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

fn run_paused(test: impl Future<Output = ()>) {
    Builder::new_current_thread().enable_all().start_paused(true).build().unwrap().block_on(test);
}

/// Places an order; returns the status, or `None` if the connection was aborted.
async fn place_order(application: &Arc<Application>, key: &str) -> Option<StatusCode> {
    let request = Request::builder().method(Method::POST).uri("/orders");
    let request = request.header("idempotency-key", key).body(Body::from("2 beams")).unwrap();
    let response = application.router().oneshot(request).await.unwrap();
    let status = response.status();
    response.into_body().collect().await.ok().map(|_| status)
}

fn effect_keys(application: &Application) -> Vec<String> {
    application.effects().into_iter().map(|effect| effect.key).collect()
}

fn check_faults(faults: ApplicationFaults, created: [bool; 2], effects: &[&str]) {
    run_paused(async {
        let application = Application::new(ApplicationSettings::default());
        application.set_faults(faults);
        let outcomes = [place_order(&application, "a").await, place_order(&application, "b").await];
        assert_eq!(outcomes.map(|status| status == Some(StatusCode::CREATED)), created);
        assert_eq!(effect_keys(&application), effects);
    });
}

cases! {
    check_faults {
        no_fault: (ApplicationFaults::default(), [true, true], &["a", "b"]),
        /// Guards against a lost response that a caller could distinguish from a lost call.
        lost_response_has_an_effect: (
            ApplicationFaults { after_effect: 1, ..ApplicationFaults::default() },
            [false, true],
            &["a", "b"],
        ),
        lost_call_has_no_effect: (
            ApplicationFaults { before_effect: 1, ..ApplicationFaults::default() },
            [false, true],
            &["b"],
        ),
    }
}

fn check_time(capacity: u32, calls: usize, expected_ms: u64) {
    run_paused(async {
        let settings = ApplicationSettings { capacity, ..ApplicationSettings::default() };
        let application = Application::new(settings);
        let start = Instant::now();
        join_all((0..calls).map(|_| place_order(&application, "a"))).await;
        assert_eq!(start.elapsed().as_millis() as u64, expected_ms);
    });
}

cases! {
    check_time {
        calls_within_capacity_run_concurrently: (4, 4, 10),
        /// Guards against a worker without a concurrency limit.
        calls_above_capacity_wait: (4, 8, 20),
    }
}

fn check_cold(calls: usize, restarts: bool) {
    run_paused(async {
        let cold = ColdSettings { starts_cold: true, capacity: 2, ..ColdSettings::default() };
        let settings = ApplicationSettings { cold, ..ApplicationSettings::default() };
        let application = Application::new(settings);
        let responses = join_all((0..calls).map(|_| place_order(&application, "a"))).await;
        assert_eq!(responses.iter().any(Option::is_none), restarts);
        assert_eq!(application.effects().len(), if restarts { 0 } else { calls });
    });
}

cases! {
    check_cold {
        cold_worker_serves_its_capacity: (2, false),
        /// Guards against a stand-in that tolerates more calls than a cold worker can serve, which
        /// would hide an overload by the fleet.
        cold_worker_restarts_above_capacity: (3, true),
    }
}

/// Guards against a call that is cancelled when its connection is lost; real workers finish it.
#[test]
fn effect_happens_without_connection() {
    run_paused(async {
        let application = Application::new(ApplicationSettings::default());
        let abandoned = timeout(Duration::from_millis(5), place_order(&application, "a")).await;
        assert!(abandoned.is_err());
        application.finish_calls().await;
        assert_eq!(effect_keys(&application), ["a"]);
    });
}

/// Guards against effects that are lost when their worker is killed.
#[tokio::test]
async fn recorder_keeps_effects() {
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
    let recorder = Some(listener.local_addr().unwrap());
    let recording_worker = Application::new(ApplicationSettings::default());
    let router = recording_worker.router();
    let root = Supervisor::new("test", SystemClock::shared()).permanent("recorder", move |stop| {
        Server::new(Arc::clone(&listener), router.clone(), ServerSettings::default()).run(stop)
    });
    let stop = CancellationToken::new();
    let test = async {
        let worker = Application::new(ApplicationSettings { recorder, ..Default::default() });
        assert_eq!(place_order(&worker, "a").await, Some(StatusCode::CREATED));
        drop(worker);
        stop.cancel();
    };
    let (result, ()) = tokio::join!(root.run(stop.clone()), test);
    result.unwrap();
    assert_eq!(effect_keys(&recording_worker), ["a"]);
}

/// Guards against an injected delay that is not applied.
#[test]
fn slow_worker_takes_longer() {
    run_paused(async {
        let application = Application::new(ApplicationSettings::default());
        application.set_faults(ApplicationFaults { slow_ms: 500, ..Default::default() });
        let early = timeout(Duration::from_millis(400), place_order(&application, "a")).await;
        assert!(early.is_err());
        sleep(Duration::from_millis(200)).await;
        assert_eq!(effect_keys(&application), ["a"]);
    });
}
