//! HTTP interface of an engine.

use super::{
    state::Engine,
    text::{prompt_state, token},
};
use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, Path, State},
    http::StatusCode,
    response::{IntoResponse, Response, Sse, sse::Event},
    routing::{get, post, put},
};
use fulmarhead_lib::{
    cost::Cost,
    ids::{LeaseId, Position, Tokens},
};
use fulmarhead_runtime::platform::engine::{
    Allocate, Allocations, Completion, EngineLoad, Segment, SegmentState,
};
use futures::Stream;
use serde_json::json;
use std::{convert::Infallible, sync::Arc};
use tokio::{sync::mpsc, time::sleep};
use tokio_stream::wrappers::ReceiverStream;

/// Largest body, in bytes.
const MAX_BODY: usize = 16 << 20;

impl Engine {
    /// Returns the routes of the engine.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/completions", post(complete))
            .route("/load", get(load))
            .route("/kv", get(allocations))
            .route("/kv/{lease}", put(allocate).delete(free))
            .route("/kv/{lease}/prefill", post(prefill))
            .layer(DefaultBodyLimit::max(MAX_BODY))
            .with_state(Arc::clone(self))
    }

    /// Runs the prefill of `tokens`, one prompt after another.
    async fn run_prefill(&self, tokens: Tokens) {
        self.lock().waiting += tokens;
        let turn = self.prefill.acquire().await;
        sleep(self.prefill_time(tokens)).await;
        drop(turn);
        self.lock().waiting -= tokens;
    }
}

async fn load(State(engine): State<Arc<Engine>>) -> Json<EngineLoad> {
    Json(engine.load())
}

async fn allocations(State(engine): State<Arc<Engine>>) -> Json<Allocations> {
    Json(Allocations { allocations: engine.allocations() })
}

async fn allocate(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
    Json(allocate): Json<Allocate>,
) -> StatusCode {
    let mut state = engine.lock();
    if state.leases.contains_key(&lease) {
        return StatusCode::NO_CONTENT;
    }
    if allocate.tokens > state.free(engine.settings.kv_total) {
        return StatusCode::INSUFFICIENT_STORAGE;
    }
    state.leases.insert(lease, allocate.tokens);
    StatusCode::NO_CONTENT
}

async fn free(State(engine): State<Arc<Engine>>, Path(lease): Path<LeaseId>) -> StatusCode {
    match engine.lock().leases.remove(&lease) {
        Some(_) => StatusCode::NO_CONTENT,
        None => StatusCode::NOT_FOUND,
    }
}

async fn prefill(
    State(engine): State<Arc<Engine>>,
    Path(lease): Path<LeaseId>,
    Json(segment): Json<Segment>,
) -> Response {
    let cost = Cost::estimate(segment.prompt.len(), 0);
    match engine.lock().leases.get(&lease) {
        None => return StatusCode::NOT_FOUND.into_response(),
        Some(&tokens) if tokens < cost.prompt => {
            return StatusCode::INSUFFICIENT_STORAGE.into_response();
        }
        Some(_) => {}
    }
    engine.run_prefill(cost.prompt).await;
    let state = prompt_state(parse_state(segment.previous.as_deref()), &segment.prompt);
    Json(SegmentState { state: format!("{state:016x}") }).into_response()
}

async fn complete(State(engine): State<Arc<Engine>>, Json(call): Json<Completion>) -> Response {
    if !engine.settings.models.contains(&call.model) {
        return StatusCode::NOT_FOUND.into_response();
    }
    let cost = Cost::estimate(call.prompt.len(), call.max_tokens);
    if call.lease.is_none() {
        let mut state = engine.lock();
        if cost.kv() > state.free(engine.settings.kv_total) {
            return StatusCode::INSUFFICIENT_STORAGE.into_response();
        }
        state.used += cost.kv();
    }
    let (sender, receiver) = mpsc::channel(16);
    tokio::spawn(generate(engine, call, cost, sender));
    Sse::new(events(receiver)).into_response()
}

fn events(receiver: mpsc::Receiver<Event>) -> impl Stream<Item = Result<Event, Infallible>> {
    use tokio_stream::StreamExt;
    ReceiverStream::new(receiver).map(Ok)
}

/// Generates the answer to one call.
async fn generate(engine: Arc<Engine>, call: Completion, cost: Cost, sender: mpsc::Sender<Event>) {
    engine.lock().running += 1;
    engine.run_prefill(cost.prompt).await;
    let state = prompt_state(parse_state(call.previous.as_deref()), &call.prompt);
    for position in call.position..call.max_tokens {
        sleep(engine.settings.decode_time).await;
        let event = item(position, &token(state, position), None);
        if sender.send(event).await.is_err() {
            break;
        }
    }
    let _ = sender.send(item(call.max_tokens, "", Some("length"))).await;
    let _ = sender.send(Event::default().data("[DONE]")).await;
    let mut state = engine.lock();
    state.running -= 1;
    if call.lease.is_none() {
        state.used -= cost.kv();
    }
}

fn item(position: Position, text: &str, finish: Option<&str>) -> Event {
    let choice = json!({ "index": 0, "text": text, "finish_reason": finish });
    let data = json!({ "object": "text_completion", "choices": [choice] });
    Event::default().id(position.to_string()).data(data.to_string())
}

fn parse_state(text: Option<&str>) -> Option<u64> {
    text.and_then(|text| u64::from_str_radix(text, 16).ok())
}
