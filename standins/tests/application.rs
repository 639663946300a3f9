//! Behaviour of the application worker.

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

fn paused(test: impl Future<Output = ()>) {
    Builder::new_current_thread().enable_all().start_paused(true).build().unwrap().block_on(test);
}

/// Places an order; returns the status, or nothing if the connection broke.
async fn order(application: &Arc<Application>, key: &str) -> Option<StatusCode> {
    let request = Request::builder().method(Method::POST).uri("/orders");
    let request = request.header("idempotency-key", key).body(Body::from("2 beams")).unwrap();
    let answer = application.router().oneshot(request).await.unwrap();
    let status = answer.status();
    answer.into_body().collect().await.ok().map(|_| status)
}

fn keys(application: &Application) -> Vec<String> {
    application.effects().into_iter().map(|effect| effect.key).collect()
}

fn check_faults(faults: ApplicationFaults, answers: [bool; 2], effects: &[&str]) {
    paused(async {
        let application = Application::new(ApplicationSettings::default());
        application.set_faults(faults);
        let seen = [order(&application, "a").await, order(&application, "b").await];
        assert_eq!(seen.map(|answer| answer == Some(StatusCode::CREATED)), answers);
        assert_eq!(keys(&application), effects);
    });
}

cases! {
    check_faults {
        no_fault: (ApplicationFaults::default(), [true, true], &["a", "b"]),
        /// Guards against a fault that a caller could tell from a lost call.
        lost_answer_has_an_effect: (
            ApplicationFaults { after_effect: 1, ..ApplicationFaults::default() },
            [false, true],
            &["a", "b"],
        ),
        lost_call_has_none: (
            ApplicationFaults { before_effect: 1, ..ApplicationFaults::default() },
            [false, true],
            &["b"],
        ),
    }
}

fn check_time(capacity: u32, calls: usize, expected_ms: u64) {
    paused(async {
        let settings = ApplicationSettings { capacity, ..ApplicationSettings::default() };
        let application = Application::new(settings);
        let start = Instant::now();
        join_all((0..calls).map(|_| order(&application, "a"))).await;
        assert_eq!(start.elapsed().as_millis() as u64, expected_ms);
    });
}

cases! {
    check_time {
        calls_within_the_capacity_run_at_once: (4, 4, 10),
        /// Guards against a worker that is never busy.
        more_calls_wait: (4, 8, 20),
    }
}

fn check_cold(calls: usize, restarts: bool) {
    paused(async {
        let cold = ColdSettings { at_start: true, capacity: 2, ..ColdSettings::default() };
        let settings = ApplicationSettings { cold, ..ApplicationSettings::default() };
        let application = Application::new(settings);
        let answers = join_all((0..calls).map(|_| order(&application, "a"))).await;
        assert_eq!(answers.iter().any(Option::is_none), restarts);
        assert_eq!(application.effects().len(), if restarts { 0 } else { calls });
    });
}

cases! {
    check_cold {
        cold_worker_carries_a_few: (2, false),
        /// Guards against a stand-in that forgives a fleet that floods a cold worker.
        cold_worker_restarts_with_more: (3, true),
    }
}

/// Guards against a lost connection that undoes a call, as no real worker would.
#[test]
fn effect_happens_without_its_connection() {
    paused(async {
        let application = Application::new(ApplicationSettings::default());
        let left = timeout(Duration::from_millis(5), order(&application, "a")).await;
        assert!(left.is_err());
        application.finish().await;
        assert_eq!(keys(&application), ["a"]);
    });
}

/// Guards against effects that are lost with a killed worker.
#[tokio::test]
async fn recorder_keeps_the_effects() {
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
    let recorder = Some(listener.local_addr().unwrap());
    let kept = Application::new(ApplicationSettings::default());
    let router = kept.router();
    let root = Supervisor::new("test", SystemClock::shared()).permanent("recorder", move |stop| {
        Server::new(Arc::clone(&listener), router.clone(), ServerSettings::default()).run(stop)
    });
    let stop = CancellationToken::new();
    let test = async {
        let worker = Application::new(ApplicationSettings { recorder, ..Default::default() });
        assert_eq!(order(&worker, "a").await, Some(StatusCode::CREATED));
        drop(worker);
        stop.cancel();
    };
    let (result, ()) = tokio::join!(root.run(stop.clone()), test);
    result.unwrap();
    assert_eq!(keys(&kept), ["a"]);
}

/// Guards against a slow worker that answers in time.
#[test]
fn slow_worker_takes_longer() {
    paused(async {
        let application = Application::new(ApplicationSettings::default());
        application.set_faults(ApplicationFaults { slow_ms: 500, ..Default::default() });
        let early = timeout(Duration::from_millis(400), order(&application, "a")).await;
        assert!(early.is_err());
        sleep(Duration::from_millis(200)).await;
        assert_eq!(keys(&application), ["a"]);
    });
}
