//! Calls to applications. A call on a route that is not repeatable runs at most once per key.

use super::{body::Permit, completions::admit, refuse::RefusalResponse};
use crate::agent::Agent;
use axum::{
    body::Bytes,
    extract::{Path, State},
    http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header::CONTENT_TYPE},
    response::{IntoResponse, Response},
};
use fulmarhead_lib::{
    admission::{TargetCapacity, Work},
    cost::Cost,
    digest::sha256,
    ids::{ApplicationId, Fingerprint, Tokens},
    keys::{Answer, CallDecision, Claim, IdempotencyKey, Recorded},
    outcome::{Reason, Refusal},
    request::Deadline,
};
use fulmarhead_runtime::{
    http::{ClientError, Endpoint, read_body},
    work::{IDEMPOTENCY_KEY, WorkHeaders},
};
use log::info;
use std::{sync::Arc, time::Duration};
use tokio::time::{timeout, timeout_at};

/// Maximum interval between two attempts to admit a waiting call.
const MAX_ADMISSION_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of the response body of an application.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A call to the application at the target.
#[derive(Clone, Debug)]
struct Call {
    method: Method,
    endpoint: Endpoint,
    headers: HeaderMap,
    body: Bytes,
    deadline: Deadline,
}

/// Handles any method on `/work/apps/{application}/{path}`.
pub(crate) async fn call(
    State(agent): State<Arc<Agent>>,
    Path((application, path)): Path<(ApplicationId, String)>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, RefusalResponse> {
    let key = read_key(&headers)?;
    // The ledger was not consulted yet, and an earlier call with the same key may have run.
    let before_ledger =
        |refusal: Refusal| if key.is_some() { refusal.without_ledger() } else { refusal };
    let work = WorkHeaders::from_headers(&headers)
        .map_err(|error| before_ledger(RefusalResponse::from(error).0))?;
    let repeatable = is_repeatable(&agent, &application, &method, &path).map_err(before_ledger)?;
    let deadline = Deadline::after(agent.clock.now(), work.remaining);
    let query = uri.query().map_or(String::new(), |query| format!("?{query}"));
    let endpoint = Endpoint::new(agent.settings.target_address, format!("/{path}{query}"));
    let headers = forwarded_headers(&headers);
    let call = Call { method, endpoint, headers, body, deadline };
    match key {
        None if !repeatable => Err(Refusal::not_run(Reason::KeyRequired).into()),
        None => run_repeatable(&agent, &work, call).await,
        Some(key) => run_keyed(&agent, &work, &key, call).await,
    }
}

/// Returns whether a call on this route may be repeated, or the refusal if the target has no such
/// route.
fn is_repeatable(
    agent: &Agent,
    application: &str,
    method: &Method,
    path: &str,
) -> Result<bool, Refusal> {
    let fleet = agent.state().config.fleet().ok_or(Refusal::not_run(Reason::NoConfiguration))?;
    let own_target = fleet.target(&agent.settings.target);
    if own_target.and_then(|target| target.application.as_deref()) != Some(application) {
        return Err(Refusal::not_run(Reason::WrongTarget));
    }
    let route = fleet
        .application(application)
        .and_then(|application| application.route(method.as_str(), &format!("/{path}")));
    route.map(|route| route.repeatable).ok_or(Refusal::not_run(Reason::UnknownApplication))
}

fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    let key = value.to_str().ok().and_then(|text| text.parse().ok());
    key.map(Some).ok_or(Refusal::not_run(Reason::KeyNotIssued))
}

/// Runs a call that may be repeated and has no key.
async fn run_repeatable(
    agent: &Arc<Agent>,
    work: &WorkHeaders,
    call: Call,
) -> Result<Response, RefusalResponse> {
    let mut permit = admit(agent, work)?;
    let result = tokio::select! {
        result = send(agent, &call) => result,
        () = agent.end_work.cancelled() => {
            return Err(Refusal::failed(Reason::Interrupted).into());
        }
    };
    match result {
        Ok(answer) => {
            permit.record_finished();
            Ok(answer_response(answer))
        }
        Err(error) => {
            permit.record_failed();
            let unsent = error.is_unsent();
            let refusal_with = if unsent { Refusal::not_run } else { Refusal::failed };
            Err(refusal_with(Reason::TargetFailed).into())
        }
    }
}

/// Runs a call with a key at most once: sends it, waits for the run in progress, or returns the
/// recorded answer.
async fn run_keyed(
    agent: &Arc<Agent>,
    work: &WorkHeaders,
    key: &IdempotencyKey,
    call: Call,
) -> Result<Response, RefusalResponse> {
    let decision = decide_call(agent, work, key, &call);
    let deadline = call.deadline;
    match decision {
        CallDecision::Replay(answer) => return Ok(answer_response(answer)),
        CallDecision::Refuse(refusal) => return Err(refusal.into()),
        CallDecision::Wait => {}
        // The call runs in a task of its own, because its answer must be recorded once it has been
        // sent, even if the entry disconnects.
        CallDecision::Run(claim) => {
            agent.spawn_keyed_call(run_claim(Arc::clone(agent), claim, work.clone(), call));
        }
    }
    wait_for_result(agent, key, deadline).await
}

/// Decides by the ledger of keys whether a call runs, waits, is replayed or is refused.
fn decide_call(
    agent: &Agent,
    work: &WorkHeaders,
    key: &IdempotencyKey,
    call: &Call,
) -> CallDecision {
    let now = agent.clock.now();
    let fingerprint = fingerprint(work, call);
    let mut state = agent.current_state();
    let admission = match state.admission.check_phase() {
        Err(refusal) => Err(refusal.reason),
        Ok(()) if call.deadline.has_passed(now) => Err(Reason::DeadlineExceeded),
        Ok(()) => Ok(()),
    };
    let decision = state.keys.begin(key, &fingerprint, admission, now);
    drop(state);
    log_decision(work, key, &decision);
    decision
}

/// Runs the call that this agent has claimed, and records its result.
async fn run_claim(agent: Arc<Agent>, claim: Claim<Recorded>, work: WorkHeaders, call: Call) {
    let mut permit = match wait_for_admission(&agent, &work, call.deadline).await {
        Ok(permit) => permit,
        Err(reason) => {
            agent.state().keys.abandon(claim, reason);
            agent.notify_settled();
            return;
        }
    };
    let claim = agent.state().keys.dispatch(claim);
    let result = send(&agent, &call).await;
    match &result {
        Ok(_) => permit.record_finished(),
        Err(_) => permit.record_failed(),
    }
    let mut state = agent.state();
    match result {
        Ok(answer) => state.keys.record_answer(claim, answer),
        Err(error) if error.is_unsent() => {
            state.keys.record_unsent(claim, Reason::TargetFailed);
        }
        Err(_) => {
            state.keys.record_lost(claim);
        }
    }
    drop(state);
    agent.notify_settled();
}

/// Waits until the call is admitted. A cold target admits only a few calls at a time.
///
/// The deadline and the phase are checked again directly before the call is sent, because the
/// process may have been paused or the target taken out of service in the meantime.
async fn wait_for_admission(
    agent: &Arc<Agent>,
    work: &WorkHeaders,
    deadline: Deadline,
) -> Result<Permit, Reason> {
    let mut settled = agent.settled_keys.subscribe();
    loop {
        let now = agent.clock.now();
        if deadline.has_passed(now) {
            return Err(Reason::DeadlineExceeded);
        }
        let requested = Work {
            request: work.request,
            cost: Cost::default(),
            remaining: deadline.remaining(now),
            aged: false,
            leased: false,
        };
        // An application has no engine memory.
        let capacity = TargetCapacity { unleased: Tokens::MAX, total: 0, rate: 0 };
        let admitted =
            agent.current_state().admission.admit(requested, work.attempt, capacity, now);
        match admitted.map_err(|refusal| refusal.reason) {
            Ok(()) => return Ok(Permit::new(Arc::clone(agent), work)),
            Err(Reason::ColdStart | Reason::Overloaded) => {}
            Err(reason) => return Err(reason),
        }
        // A settled call may have freed capacity.
        let _ = timeout(MAX_ADMISSION_RETRY_INTERVAL, settled.changed()).await;
    }
}

/// Waits for the result of the call with `key`, at most until the deadline or the end of the process.
async fn wait_for_result(
    agent: &Arc<Agent>,
    key: &IdempotencyKey,
    deadline: Deadline,
) -> Result<Response, RefusalResponse> {
    let mut settled = agent.settled_keys.subscribe();
    let settled_result = async {
        loop {
            let result = agent.state().keys.result(key.id);
            if let Some(result) = result {
                return result.map(answer_response);
            }
            if settled.changed().await.is_err() {
                return Err(Refusal::unknown(Reason::Interrupted));
            }
        }
    };
    let result = tokio::select! {
        biased;
        result = timeout_at(deadline.instant().into(), settled_result) => {
            result.unwrap_or(Err(Refusal::unknown(Reason::KeyInProgress)))
        }
        () = agent.end_work.cancelled() => Err(Refusal::unknown(Reason::Interrupted)),
    };
    result.map_err(RefusalResponse)
}

/// Sends a call to the application and reads the whole answer, until the deadline of the call.
async fn send(agent: &Agent, call: &Call) -> Result<Answer, ClientError> {
    let sent = agent.target_client.send(
        call.method.clone(),
        &call.endpoint,
        call.headers.clone(),
        call.body.clone(),
    );
    let remaining = call.deadline.remaining(agent.clock.now());
    let answer = timeout_at(call.deadline.instant().into(), async {
        let response = sent.await?;
        let status = response.status().as_u16();
        let media_type = response.headers().get(CONTENT_TYPE);
        let media_type = media_type.and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
        let body = read_body(response.into_body(), MAX_ANSWER_BYTES).await?;
        Ok(Answer { status, media_type, body: Some(body.to_vec().into()) })
    });
    answer.await.map_err(|_| ClientError::Timeout(remaining))?
}

fn answer_response(answer: Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response =
        (status, answer.body.map(|body| body.to_vec()).unwrap_or_default()).into_response();
    if let Ok(media_type) = HeaderValue::from_str(&answer.media_type) {
        response.headers_mut().insert(CONTENT_TYPE, media_type);
    }
    response
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let names = [CONTENT_TYPE, IDEMPOTENCY_KEY];
    names
        .into_iter()
        .filter_map(|name| headers.get(&name).cloned().map(|value| (name, value)))
        .collect()
}

fn fingerprint(work: &WorkHeaders, call: &Call) -> Fingerprint {
    let head = format!("{}\n{}\n{}\n", work.team, call.method, call.endpoint.path);
    sha256(&[head.as_bytes(), &call.body].concat())
}

fn log_decision(work: &WorkHeaders, key: &IdempotencyKey, call_decision: &CallDecision) {
    let (request, attempt) = (work.request, work.attempt);
    let decision = match call_decision {
        CallDecision::Run(_) => "run",
        CallDecision::Wait => "wait",
        CallDecision::Replay(_) => "replay",
        CallDecision::Refuse(_) => "refuse",
    };
    let reason = match call_decision {
        CallDecision::Refuse(refusal) => <&'static str>::from(refusal.reason),
        _ => "",
    };
    info!(target: "decision", request:%, attempt, key:% = key.id, decision, reason; "key checked");
}
