//! Handles a caller's request from its head to its response.

use super::{
    attempt::{FailedAttempt, run_attempt},
    body::ResponseBody,
    buffered, events,
    open_requests::{OpenRequest, Stage},
    record,
    refusal::{DEFAULT_RETRY_DELAY, pause_delay, problem_response, refusal_response, retry_delay},
    request_body::read_body,
    waiting::WaitingPlace,
};
use crate::gateway::{Gateway, SelectError};
use bytes::Bytes;
use fulmarhead_lib::{
    forward::{Call, Failure, FailureOutcome, ResponseHead, Unsent},
    ids::ContentDigest,
    placement::RequestProfile,
    quarantine::{Content, Feature, FeatureSet},
    request::Deadline,
    routes::{Denial, RouteMatch, RouteTable, Service},
};
use fulmarhead_platform::RequestHead;
use fulmarhead_runtime::http::BodyLimits;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    http::uri::PathAndQuery,
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

/// Timeout of a request for which neither the caller nor the route sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest gap between two events if the route sets none.
const DEFAULT_MAX_GAP: Duration = Duration::from_secs(1);

/// Silence of a stream that counts as a failure of the target, as a multiple of the longest allowed
/// gap between events; callers give up after eight times the gap.
const SILENCE_GAP_FACTOR: u32 = 4;

/// Shortest silence of a stream that counts as a failure of the target; a pass of an engine with
/// long prefills takes up to about one second.
const MIN_STREAM_SILENCE: Duration = Duration::from_millis(1_200);

/// Silence that counts as a failure of the target, as a multiple of the route's latency objective,
/// for a response that is not an event stream.
const SILENCE_OBJECTIVE_FACTOR: u32 = 2;

/// Shortest silence that counts as a failure of the target, for a response that is not an event
/// stream; the slowest calls of applications take about 110 ms.
const MIN_RESPONSE_SILENCE: Duration = Duration::from_millis(200);

/// Share of the route's timeout that callers allow at least for their first try. A shorter timeout
/// shows that the caller retries after a refusal.
const FIRST_TRY_SHARE: f64 = 0.83;

/// A request and the state that its attempts share.
pub(super) struct RequestContext {
    pub(super) gateway: Arc<Gateway>,
    pub(super) head: RequestHead,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Digest of the content, which repeats of the request share.
    pub(super) content: ContentDigest,
    /// Features by which the request can be quarantined.
    pub(super) features: FeatureSet,
    pub(super) profile: RequestProfile,
    /// Whether the route's responses are event streams.
    pub(super) streaming: bool,
    /// Timeout that the route sets.
    route_timeout: Duration,
    pub(super) received_at: Instant,
    /// Random number in `0.0..1.0` that selects the service by weight, the same for all attempts.
    service_draw: f64,
    /// Number of attempts so far, including those without a connection.
    attempts: AtomicUsize,
    /// Counts the request as one in progress.
    pub(super) open: OpenRequest,
    /// Place in the queue of requests that wait for capacity.
    pub(super) place: WaitingPlace,
}

impl RequestContext {
    /// Returns the route match and the service under the active configuration.
    ///
    /// The configuration may have changed while the request waited, so each attempt selects the
    /// route again.
    pub(super) fn select_service(&self) -> Result<(RouteMatch, Arc<Service>), Failure> {
        let head = &self.head;
        let result = self.gateway.select_route(&head.host, &head.path, head.api_key.as_deref());
        let (route_match, table) = result.map_err(|error| match error {
            // The request was allowed when it arrived, so the configuration has changed since.
            SelectError::Denied(_) => Failure::StaleConfiguration,
            SelectError::Unavailable(failure) => failure,
        })?;
        let id = route_match.route.select_service(self.service_draw).ok_or(Failure::NoTarget)?;
        let service = table.service(id).map(Arc::clone).ok_or(Failure::NoTarget)?;
        Ok((route_match, service))
    }

    /// Counts an attempt and returns its number, starting at 1.
    pub(super) fn next_attempt(&self) -> usize {
        self.attempts.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the time since the request was received.
    pub(super) fn elapsed(&self) -> Duration {
        self.gateway.clock.now().saturating_duration_since(self.received_at)
    }

    /// Returns whether the response is a stream whose events are passed on as they arrive. Others
    /// are passed on when they are complete.
    pub(super) fn is_stream(&self, response: &ResponseHead) -> bool {
        self.streaming && response.event_stream && response.is_success()
    }

    /// Returns how long the target may send nothing before the request may be retried at another
    /// one.
    pub(super) fn silence_timeout(&self) -> Duration {
        let RequestProfile { objective, max_gap, .. } = self.profile;
        match self.streaming {
            true => objective.max(max_gap * SILENCE_GAP_FACTOR).max(MIN_STREAM_SILENCE),
            false => (objective * SILENCE_OBJECTIVE_FACTOR).max(MIN_RESPONSE_SILENCE),
        }
    }
}

/// Returns the response to a caller's request. While the process stops, the response also closes
/// the connection.
pub(super) async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let mut response = respond(Arc::clone(&gateway), request).await;
    if gateway.state().stop.is_some() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn respond(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
    let received_at = gateway.clock.now();
    let (parts, body) = request.into_parts();
    let head = match RequestHead::decode(&parts.uri, &parts.headers) {
        Ok(head) => head,
        Err(error) => {
            return problem_response(StatusCode::BAD_REQUEST, &error.to_string(), "not_run");
        }
    };
    let result = gateway.select_route(&head.host, &head.path, head.api_key.as_deref());
    let (route_match, table) = match result {
        Ok(selection) => selection,
        Err(error) => return deny_request(&gateway, &head, error, received_at),
    };
    let time_limit = head.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route_match.route.timeout);
    let deadline = Deadline::after(received_at, time_limit);
    let open = OpenRequest::begin(&gateway, &head.request_id);
    let limits = BodyLimits { bytes: table.limits().body_bytes, time: time_limit, copies: 1 };
    let body = tokio::select! {
        body = read_body(&gateway, &head, body, limits) => body,
        () = gateway.end_requests.cancelled() => {
            return refuse_unsent(&gateway, &head, Failure::Stopping, received_at);
        }
    };
    let body = match body {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    open.set_stage(Stage::Waiting);
    let now = gateway.clock.now();
    let stop = gateway.state().stop;
    if stop.is_some_and(|stop| !stop.admits(route_match.route.retry_policy, deadline, now)) {
        return refuse_unsent(&gateway, &head, Failure::Stopping, received_at);
    }
    let content = Content {
        method: parts.method.as_str(),
        host: &head.host,
        path: parts.uri.path_and_query().map_or("/", PathAndQuery::as_str),
        team: route_match.team.as_deref(),
        body: &body,
        prompt: head.prompt_digest,
    };
    let content = content.digest();
    let context = RequestContext {
        features: request_features(&head, content),
        content,
        profile: request_profile(&head, &route_match),
        streaming: route_match.route.streaming,
        route_timeout: route_match.route.timeout,
        open,
        place: WaitingPlace::new(&gateway),
        gateway,
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        received_at,
        service_draw: rand::rng().random(),
        attempts: AtomicUsize::new(0),
    };
    count_request(&context, &route_match, &table);
    let call = Call::new(route_match.route.retry_policy, deadline, route_match.route.max_attempts);
    forward(context, call).await
}

/// Returns the features by which a request can be quarantined.
fn request_features(head: &RequestHead, content: ContentDigest) -> FeatureSet {
    let parts = head.shared_parts.iter().copied().map(Feature::Part);
    parts.chain([Feature::Content(content)]).collect()
}

fn deny_request(
    gateway: &Gateway,
    head: &RequestHead,
    error: SelectError,
    received_at: Instant,
) -> Response<ResponseBody> {
    let status = match error {
        SelectError::Denied(Denial::NoRoute) => StatusCode::NOT_FOUND,
        SelectError::Denied(Denial::UnknownKey) => StatusCode::UNAUTHORIZED,
        SelectError::Unavailable(failure) => {
            return refuse_unsent(gateway, head, failure, received_at);
        }
    };
    let version = *gateway.config_version.borrow();
    let reason = error.to_string();
    record::request_denied(&head.request_id, &reason, version);
    problem_response(status, &reason, "not_run")
}

/// Refuses a request that was sent to no target.
fn refuse_unsent(
    gateway: &Gateway,
    head: &RequestHead,
    failure: Failure,
    received_at: Instant,
) -> Response<ResponseBody> {
    let failure_outcome = FailureOutcome::NotRun(failure);
    let elapsed = gateway.clock.now().saturating_duration_since(received_at);
    record::request_failed(&head.request_id, failure_outcome, elapsed);
    refusal_response(failure_outcome, retry_delay(failure, None, false, Duration::ZERO))
}

fn request_profile(head: &RequestHead, route_match: &RouteMatch) -> RequestProfile {
    // A caller that retries has already waited for its first try, so its request is overdue.
    let is_caller_retry =
        head.timeout.is_some_and(|time| time < route_match.route.timeout.mul_f64(FIRST_TRY_SHARE));
    let output = head.output_hint.unwrap_or(head.max_output);
    RequestProfile {
        prompt_tokens: head.prompt,
        output_tokens: output,
        objective: route_match.route.objective,
        max_gap: route_match.route.max_gap.unwrap_or(DEFAULT_MAX_GAP),
        overdue: is_caller_retry,
        draw: rand::rng().random(),
    }
}

fn count_request(context: &RequestContext, route_match: &RouteMatch, table: &RouteTable) {
    let service =
        route_match.route.select_service(context.service_draw).and_then(|id| table.service(id));
    if let Some(service) = service {
        context.gateway.count_request(&service.id);
    }
}

/// Sends the call to targets until one responds or no further attempt is allowed.
async fn forward(context: RequestContext, mut call: Call<Unsent>) -> Response<ResponseBody> {
    let last_event = context.head.last_event;
    loop {
        let mut failed = match run_attempt(&context, call, last_event).await {
            Ok(target_response) if context.is_stream(&target_response.head) => {
                return events::stream_response(context, target_response);
            }
            Ok(target_response) => match buffered::buffer_response(&context, target_response).await
            {
                Ok(response) => return response,
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        context.open.set_stage(Stage::Waiting);
        if failed.failure == Failure::Overloaded {
            match context.wait_for_capacity(&failed.call).await {
                Ok(()) => {
                    call = failed.call;
                    continue;
                }
                Err(failure) => failed.failure = failure,
            }
        }
        let now = context.gateway.clock.now();
        let is_final = matches!(
            failed.failure,
            Failure::NoTarget
                | Failure::StaleConfiguration
                | Failure::Quarantined
                | Failure::Paused
                | Failure::Stopping
        );
        if is_final || !failed.call.may_send(now) || context.should_give_up(&failed) {
            let forecast_delay = context.return_delay(&failed);
            let failure_outcome = failed.call.end(failed.failure);
            record::request_failed(&context.head.request_id, failure_outcome, context.elapsed());
            let delay = match failed.failure {
                Failure::Quarantined => context.record_quarantine(),
                Failure::Paused => pause_delay(failed.retry_after.unwrap_or_default()),
                failure => {
                    let late = context.streaming && context.would_retry_be_late();
                    retry_delay(failure, forecast_delay, late, context.route_timeout)
                }
            };
            return refusal_response(failure_outcome, delay);
        }
        call = failed.call;
    }
}

impl RequestContext {
    /// Returns whether a call that was not yet sent to a target may wait for capacity for which
    /// there is no forecast.
    pub(super) fn may_wait_for_capacity(&self, call: &Call<Unsent>) -> bool {
        let max_wait = self.profile.objective.mul_f64(CAPACITY_WAIT_SHARE);
        !call.is_retry() && call.may_send(self.gateway.clock.now()) && self.elapsed() < max_wait
    }

    /// Returns whether a retry by the caller would get its first event too late: always for a
    /// latency-sensitive request, otherwise once the wait for capacity is over.
    fn would_retry_be_late(&self) -> bool {
        self.profile.is_latency_sensitive()
            || self.elapsed() >= self.profile.objective.mul_f64(CAPACITY_WAIT_SHARE)
    }

    /// Records which parts of the prompt are quarantined, and returns the time until a request with
    /// them may be sent again.
    fn record_quarantine(&self) -> Duration {
        let Some(refusal) = self.gateway.quarantine_refusal(&self.features) else {
            return DEFAULT_RETRY_DELAY;
        };
        record::request_quarantined(self, &refusal);
        refusal.remaining
    }

    /// Returns whether to refuse the request after `failed`, because no target has capacity or the
    /// maximum number of connections was tried.
    fn should_give_up(&self, failed: &FailedAttempt) -> bool {
        let no_capacity = failed.failure == Failure::Overloaded;
        let helper_failures = failed.call.helper_failures() as usize;
        let connections = self.attempts.load(Ordering::Relaxed).saturating_sub(helper_failures);
        no_capacity || connections >= MAX_CONNECTION_ATTEMPTS
    }
}

/// Share of the objective for which a request waits for capacity without a forecast; a longer wait
/// would make its response late.
const CAPACITY_WAIT_SHARE: f64 = 0.5;

/// Maximum number of connections that one request tries, including those that could not be
/// established.
const MAX_CONNECTION_ATTEMPTS: usize = 4;
