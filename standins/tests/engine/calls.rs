//! Calls of an engine in process.

use axum::{
    Router,
    body::Body,
    http::{Method, Request, StatusCode, header::CONTENT_TYPE},
};
use fulmarhead_lib::{
    clock::{Clock, SharedClock},
    ids::{LeaseId, RequestId},
};
use fulmarhead_runtime::platform::engine::CompletionRequest;
use http_body_util::BodyExt;
use serde_json::Value;
use standins::engine::{Engine, EngineSettings};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};
use tower::ServiceExt;

/// Tokio's time, which stands still while a task can run.
struct TokioClock;

impl Clock for TokioClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }

    fn uptime(&self) -> Duration {
        Duration::ZERO
    }
}

/// Runs a test on paused time.
pub(crate) fn paused(test: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    runtime.enable_all().start_paused(true).build().unwrap().block_on(test);
}

/// An engine with its routes.
pub(crate) struct Target {
    pub(crate) engine: Arc<Engine>,
    router: Router,
}

/// An event of a stream: time since the call, identifier and data.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Item {
    pub(crate) at: Duration,
    pub(crate) id: Option<u64>,
    pub(crate) data: String,
}

/// Settings with round figures: a prefill of 1 ms for a token and a decode of 10 ms for a token.
pub(crate) fn settings() -> EngineSettings {
    EngineSettings {
        kv_total: 20_000,
        cache_total: 10_240,
        prefill_rate: 1_000,
        chunk: 100,
        decode_time: Duration::from_millis(10),
        decode_slope: Duration::from_millis(2),
        load_lag: Duration::ZERO,
        ..EngineSettings::default()
    }
}

/// Returns a completion of `max_tokens` tokens for a prompt of `tokens` tokens.
pub(crate) fn completion(number: u128, tokens: usize, max_tokens: u64) -> CompletionRequest {
    CompletionRequest {
        model: "assistant".to_owned(),
        prompt: "tree".repeat(tokens),
        max_tokens,
        priority: 1,
        request_id: RequestId::from_u128(number),
        position: 0,
        lease: None,
        previous: None,
        sampling: BTreeMap::new(),
    }
}

pub(crate) fn lease(number: u128) -> LeaseId {
    LeaseId::from_u128(number)
}

impl Target {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let clock: SharedClock = Arc::new(TokioClock);
        Self::of(Engine::with_clock(settings, clock))
    }

    /// Returns the routes of an engine.
    pub(crate) fn of(engine: Arc<Engine>) -> Self {
        Self { router: engine.router(), engine }
    }

    /// Sends a request and returns the answer's body as it comes.
    pub(crate) async fn send(&self, method: Method, path: &str, body: Body) -> (StatusCode, Body) {
        let request = Request::builder().method(method).uri(path);
        let request = request.header(CONTENT_TYPE, "application/json").body(body).unwrap();
        let (parts, body) = self.router.clone().oneshot(request).await.unwrap().into_parts();
        (parts.status, body)
    }

    /// Sends JSON, or nothing for `Value::Null`, and returns the answer, null if it is no JSON.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        message: Value,
    ) -> (StatusCode, Value) {
        let body = if message.is_null() { Body::empty() } else { Body::from(message.to_string()) };
        let (status, body) = self.send(method, path, body).await;
        let bytes = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        (status, serde_json::from_slice(&bytes).unwrap_or_default())
    }

    /// Starts a completion.
    pub(crate) async fn start(&self, call: &CompletionRequest) -> (StatusCode, Events) {
        let start = tokio::time::Instant::now();
        let body = Body::from(serde_json::to_string(call).unwrap());
        let (status, body) = self.send(Method::POST, "/v1/completions", body).await;
        (status, Events::new(start, body))
    }

    /// Runs a completion to its end.
    pub(crate) async fn run(&self, call: &CompletionRequest) -> Vec<Item> {
        let (status, mut events) = self.start(call).await;
        assert_eq!(status, StatusCode::OK);
        events.rest().await
    }
}

/// The events of one connection.
pub(crate) struct Events {
    start: tokio::time::Instant,
    body: Body,
}

impl Events {
    /// Returns the events in `body`, which was asked for at `start`.
    pub(crate) fn new(start: tokio::time::Instant, body: Body) -> Self {
        Self { start, body }
    }

    /// Returns the next event, or nothing when the connection ended or broke.
    pub(crate) async fn next(&mut self) -> Option<Item> {
        let frame = self.body.frame().await?.ok()?.into_data().unwrap();
        let text = String::from_utf8(frame.to_vec()).unwrap();
        let field = |name| text.lines().find_map(|line| line.strip_prefix(name));
        let id = field("id: ").map(|id| id.parse().unwrap());
        let data = field("data: ").unwrap().to_owned();
        Some(Item { at: self.start.elapsed(), id, data })
    }

    /// Returns the events up to the end of the connection.
    pub(crate) async fn rest(&mut self) -> Vec<Item> {
        let mut items = Vec::new();
        while let Some(item) = self.next().await {
            items.push(item);
        }
        items
    }
}

/// Returns whether a stream came to its end.
pub(crate) fn is_complete(items: &[Item]) -> bool {
    items.last().is_some_and(|item| item.data == "[DONE]")
}
