//! Tests of the stand-ins for the configuration service, the VM list and the weight store.

use axum::{
    Router,
    body::Body,
    http::{Request, StatusCode, header::RETRY_AFTER},
};
use fulmarhead_lib::clock::SharedClock;
use http_body_util::BodyExt;
use serde_json::Value;
use standins::{
    config_service::{ConfigSettings, ConfigStore, ServiceFaults},
    vm_list::{Vm, VmList, VmState},
    weight_store::{WeightSettings, WeightStore},
};
use std::{sync::Arc, time::Duration};
use testutils::{ManualClock, cases};
use tokio::{
    runtime::Builder,
    time::{Instant, sleep},
};
use tower::ServiceExt;

fn run_paused(test: impl Future<Output = ()>) {
    Builder::new_current_thread().enable_all().start_paused(true).build().unwrap().block_on(test);
}

async fn get(router: Router, path: &str) -> (StatusCode, Value) {
    let request = Request::builder().uri(path).body(Body::empty()).unwrap();
    let response = router.oneshot(request).await.unwrap();
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

/// Returns a service with revisions 1 and 2 that allows 3 calls, on a clock that does not advance.
fn service(faults: ServiceFaults) -> Arc<ConfigStore> {
    let clock: SharedClock = Arc::new(ManualClock::default());
    let store = ConfigStore::new(ConfigSettings { calls_per_second: 3 }, clock);
    store.publish(1, "one");
    store.publish(2, "two");
    store.set_faults(faults);
    Arc::new(store)
}

fn check_read(faults: ServiceFaults, expected: (StatusCode, Option<u64>), expected_ms: u64) {
    run_paused(async {
        let start = Instant::now();
        let (status, head) = get(service(faults).router(), "/v1/values/fleet/head").await;
        assert_eq!((status, head["revision"].as_u64()), expected);
        assert_eq!(start.elapsed().as_millis() as u64, expected_ms);
    });
}

cases! {
    check_read {
        no_fault: (ServiceFaults::default(), (StatusCode::OK, Some(2)), 0),
        down: (
            ServiceFaults { down: true, ..ServiceFaults::default() },
            (StatusCode::SERVICE_UNAVAILABLE, None),
            0,
        ),
        /// Guards against a fault that never shows readers a revision below the last one.
        stale: (
            ServiceFaults { stale_at: Some(1), ..ServiceFaults::default() },
            (StatusCode::OK, Some(1)),
            0,
        ),
        slow: (
            ServiceFaults { slow_ms: 700, ..ServiceFaults::default() },
            (StatusCode::OK, Some(2)),
            700,
        ),
        at_rate_limit: (
            ServiceFaults { calls_per_second: Some(0), ..ServiceFaults::default() },
            (StatusCode::TOO_MANY_REQUESTS, None),
            0,
        ),
    }
}

fn check_watch(after: u64, change: fn(&ConfigStore), expected: StatusCode, expected_ms: u64) {
    run_paused(async {
        let store = service(ServiceFaults::default());
        let start = Instant::now();
        let path = format!("/v1/watch/fleet/head?after={after}&wait_ms=1500");
        let later = async {
            sleep(Duration::from_millis(500)).await;
            change(&store);
        };
        let ((status, _), ()) = tokio::join!(get(store.router(), &path), later);
        assert_eq!(status, expected);
        assert_eq!(start.elapsed().as_millis() as u64, expected_ms);
    });
}

cases! {
    check_watch {
        newer_value_is_present: (1, |_| {}, StatusCode::OK, 500),
        no_newer_value: (2, |_| {}, StatusCode::NOT_MODIFIED, 1_500),
        value_is_published: (2, |store| store.publish(3, "three"), StatusCode::OK, 500),
        /// Guards against watches that keep waiting through an outage.
        service_becomes_unavailable: (
            2,
            |store| store.set_faults(ServiceFaults { down: true, ..ServiceFaults::default() }),
            StatusCode::SERVICE_UNAVAILABLE,
            500,
        ),
    }
}

/// Guards against waiting watches that don't count towards the rate limit, as one call per second.
#[test]
fn waiting_watches_count_as_calls() {
    run_paused(async {
        let store = service(ServiceFaults::default());
        let path = "/v1/watch/fleet/head?after=2&wait_ms=5000";
        let (first, second) = tokio::join!(get(store.router(), path), get(store.router(), path));
        let statuses = [first.0, second.0];
        assert_eq!(statuses, [StatusCode::TOO_MANY_REQUESTS; 2]);
    });
}

/// Guards against a VM list that shows a change without lag, or never.
#[test]
fn vm_list_lags() {
    let clock = Arc::new(ManualClock::default());
    let list = VmList::new(Duration::from_secs(10), Arc::clone(&clock) as SharedClock);
    let address = "127.0.0.1:1".parse().unwrap();
    let vm = Vm { address, zone: "qc-est-a".to_owned(), state: VmState::Leaving };
    list.set(vec![vm.clone()]);
    clock.advance(Duration::from_secs(9));
    assert_eq!(list.snapshot().vms, []);
    clock.advance(Duration::from_secs(1));
    assert_eq!(list.snapshot().vms, [vm]);
}

/// Guards against a rate limit per reader, or one that never admits a read again.
#[tokio::test]
async fn weight_store_readers_share_rate_limit() {
    let clock = Arc::new(ManualClock::default());
    let settings = WeightSettings { bytes: 10, rate: 0.5, burst: 1.0 };
    let store = WeightStore::new(settings, Arc::clone(&clock) as SharedClock);
    let read = async || {
        let request = Request::builder().uri("/v1/weights/assistant/2").body(Body::empty());
        let response = store.router().oneshot(request.unwrap()).await.unwrap();
        let wait =
            response.headers().get(RETRY_AFTER).map(|value| value.to_str().unwrap().to_owned());
        (response.status(), wait)
    };
    assert_eq!(read().await, (StatusCode::OK, None));
    assert_eq!(read().await, (StatusCode::TOO_MANY_REQUESTS, Some("2".to_owned())));
    clock.advance(Duration::from_secs(2));
    assert_eq!(read().await, (StatusCode::OK, None));
}
