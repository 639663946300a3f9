//! A caller's request from its head to its answer.

use super::{
    attempt::{Failed, attempt},
    body::AnswerBody,
    buffered, events, record,
    refusal::{BUSY_PAUSE, pause, problem, refuse},
};
use crate::gateway::{Gateway, Refused};
use bytes::Bytes;
use fulmarhead_lib::{
    forward::{Call, Failure, FailureOutcome, Unsent},
    placement::RequestProfile,
    request::Deadline,
    routes::{Denial, RouteMatch, RouteTable, Service},
};
use fulmarhead_platform::RequestHead;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};
use rand::RngExt;
use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// Time for an answer where neither the caller nor the route says one.
const DEFAULT_TIME: Duration = Duration::from_secs(30);

/// Longest pause between two events where the route says none.
const DEFAULT_GAP: Duration = Duration::from_secs(1);

/// Pauses up to this many times the route's bound are not taken for the death of a target;
/// callers give up after eight times the bound.
const GAP_FACTOR: u32 = 4;

/// Shortest silence of a stream that is taken for the death of a target; a pass that reads long
/// prompts takes up to about a second.
const SHORTEST_SILENCE: Duration = Duration::from_millis(1_200);

/// Times to an answer up to this many times the objective are not taken for the death of a target.
const ANSWER_FACTOR: u32 = 2;

/// Shortest silence of an application that is taken for its death; its slowest calls take about
/// 110 ms.
const SHORTEST_ANSWER: Duration = Duration::from_millis(200);

/// Part of the route's time limit below which a caller's time shows that it comes back after a
/// refusal; callers wait at least this part at first.
const FIRST_PART: f64 = 0.83;

/// A request with all that its attempts need.
pub(super) struct Context {
    pub(super) gateway: Arc<Gateway>,
    pub(super) head: RequestHead,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) need: RequestProfile,
    pub(super) streaming: bool,
    /// Time limit of the route.
    limit: Duration,
    pub(super) received: Instant,
    draw: f64,
    attempts: AtomicUsize,
}

impl Context {
    /// Returns the route, the team and the service under the configuration in force now.
    ///
    /// A request that waited while the configuration changed goes where the newest one says.
    pub(super) fn service(&self) -> Result<(RouteMatch, Arc<Service>), Failure> {
        let head = &self.head;
        let found = self.gateway.select(&head.host, &head.path, head.api_key.as_deref());
        let (selected, table) = found.map_err(|refused| match refused {
            Refused::Denied(_) => Failure::StaleConfiguration,
            Refused::Unable(failure) => failure,
        })?;
        let id = selected.route.select_service(self.draw).ok_or(Failure::NoTarget)?;
        let service = table.service(id).map(Arc::clone).ok_or(Failure::NoTarget)?;
        Ok((selected, service))
    }

    /// Returns the number of the next attempt, counted from 1.
    pub(super) fn next_attempt(&self) -> usize {
        self.attempts.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the time since the request came.
    pub(super) fn elapsed(&self) -> Duration {
        self.gateway.clock.now().saturating_duration_since(self.received)
    }

    /// Returns how long a target may be silent before the request goes on elsewhere, if it may.
    pub(super) fn patience(&self) -> Duration {
        let RequestProfile { objective, max_gap, .. } = self.need;
        match self.streaming {
            true => objective.max(max_gap * GAP_FACTOR).max(SHORTEST_SILENCE),
            false => (objective * ANSWER_FACTOR).max(SHORTEST_ANSWER),
        }
    }
}

/// Answers a request of a caller.
pub(super) async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let stopping = gateway.core().stopping;
    let mut response = answer(gateway, request).await;
    if stopping {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let received = gateway.clock.now();
    let (parts, body) = request.into_parts();
    let head = match RequestHead::decode(&parts.uri, &parts.headers) {
        Ok(head) => head,
        Err(error) => {
            return problem(StatusCode::BAD_REQUEST, &error.to_string(), "not_run");
        }
    };
    let found = gateway.select(&head.host, &head.path, head.api_key.as_deref());
    let (selected, table) = match found {
        Ok(found) => found,
        Err(refused) => return deny(&gateway, &head, refused, received),
    };
    let time = head.timeout.unwrap_or(DEFAULT_TIME).min(selected.route.timeout);
    let deadline = Deadline::after(received, time);
    let limit = table.limits().body_bytes;
    let body = match read_body(body, limit, time).await {
        Ok(body) => body,
        Err(status) => return problem(status, "body", "not_run"),
    };
    let context = Context {
        need: need(&head, &selected),
        streaming: selected.route.streaming,
        limit: selected.route.timeout,
        gateway,
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        received,
        draw: rand::rng().random(),
        attempts: AtomicUsize::new(0),
    };
    count(&context, &selected, &table);
    let call = Call::new(selected.route.retry_policy, deadline, selected.route.max_attempts);
    forward(context, call).await
}

fn deny(
    gateway: &Gateway,
    head: &RequestHead,
    refused: Refused,
    received: Instant,
) -> Response<AnswerBody> {
    let status = match refused {
        Refused::Denied(Denial::NoRoute) => StatusCode::NOT_FOUND,
        Refused::Denied(Denial::UnknownKey) => StatusCode::UNAUTHORIZED,
        Refused::Unable(failure) => {
            let ending = FailureOutcome::NotRun(failure);
            let after = gateway.clock.now().saturating_duration_since(received);
            record::failed(&head.request_id, ending, after);
            return refuse(ending, BUSY_PAUSE);
        }
    };
    let version = *gateway.version.borrow();
    let reason = refused.to_string();
    record::denied(&head.request_id, &reason, version);
    problem(status, &reason, "not_run")
}

async fn read_body(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, StatusCode> {
    let read = timeout(time, Limited::new(body, limit).collect());
    match read.await.map_err(|_| StatusCode::REQUEST_TIMEOUT)? {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

fn need(head: &RequestHead, selected: &RouteMatch) -> RequestProfile {
    let returned =
        head.timeout.is_some_and(|time| time < selected.route.timeout.mul_f64(FIRST_PART));
    let output = head.output_hint.unwrap_or(head.max_output);
    RequestProfile {
        prompt_tokens: head.prompt,
        output_tokens: output,
        objective: selected.route.objective,
        max_gap: selected.route.max_gap.unwrap_or(DEFAULT_GAP),
        overdue: returned,
        draw: rand::rng().random(),
    }
}

fn count(context: &Context, selected: &RouteMatch, table: &RouteTable) {
    let service = selected.route.select_service(context.draw).and_then(|id| table.service(id));
    if let Some(service) = service {
        context.gateway.count_request(&service.id);
    }
}

/// Sends the call to targets until one answers or nothing more may be done.
async fn forward(context: Context, mut call: Call<Unsent>) -> Response<AnswerBody> {
    let last_event = context.head.last_event;
    loop {
        let failed = match attempt(&context, call, last_event).await {
            Ok(answering) if answering.head.event_stream => {
                return events::answer(context, answering);
            }
            Ok(answering) => match buffered::answer(&context, answering).await {
                Ok(response) => return response,
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        if failed.failure == Failure::Overloaded && context.may_wait(&failed.call) {
            sleep(ROOM_CHECK).await;
            call = failed.call;
            continue;
        }
        let now = context.gateway.clock.now();
        let over = matches!(failed.failure, Failure::NoTarget | Failure::StaleConfiguration);
        if over || !failed.call.may_send(now) || context.is_spent(&failed) {
            let ending = failed.call.end(failed.failure);
            record::failed(&context.head.request_id, ending, context.elapsed());
            let late = context.streaming && context.is_late();
            return refuse(ending, pause(failed.failure, late, context.limit));
        }
        call = failed.call;
    }
}

impl Context {
    /// Returns whether a call that no target has had may wait for room.
    fn may_wait(&self, call: &Call<Unsent>) -> bool {
        let bound = self.need.objective.mul_f64(WAIT_PART);
        !call.is_retry() && call.may_send(self.gateway.clock.now()) && self.elapsed() < bound
    }

    /// Returns whether a caller that comes back soon gets its first event too late.
    fn is_late(&self) -> bool {
        self.need.is_latency_sensitive() || self.elapsed() >= self.need.objective.mul_f64(WAIT_PART)
    }

    /// Returns whether another attempt right away is pointless after `failed`.
    fn is_spent(&self, failed: &Failed) -> bool {
        let no_room = failed.failure == Failure::Overloaded;
        no_room || self.attempts.load(Ordering::Relaxed) >= MOST_TRIES
    }
}

/// Time between two looks at whether there is room, about one pass of an engine.
const ROOM_CHECK: Duration = Duration::from_millis(60);

/// Part of the objective that a request waits for room; what waits longer would be late.
const WAIT_PART: f64 = 0.5;

/// Most connections that one request tries, those that could not be set up included.
const MOST_TRIES: usize = 4;
