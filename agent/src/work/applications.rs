//! Calls to applications, at most once where they may not be repeated.

use super::{body::Permit, completions::admit, refuse::Refused};
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

/// Longest time between two looks at whether the target has room.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);

/// Largest answer of an application, in bytes.
const MAX_ANSWER: usize = 4 << 20;

/// A call to the application beside the agent.
#[derive(Clone, Debug)]
struct Call {
    method: Method,
    endpoint: Endpoint,
    headers: HeaderMap,
    body: Bytes,
    deadline: Deadline,
}

/// Answers any method on `/work/apps/{application}/{path}`.
pub(crate) async fn call(
    State(agent): State<Arc<Agent>>,
    Path((application, path)): Path<(ApplicationId, String)>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, Refused> {
    let key = read_key(&headers)?;
    // The ledger was not asked yet, and an earlier call with the key may have run.
    let unasked = |refusal: Refusal| if key.is_some() { refusal.without_ledger() } else { refusal };
    let work = WorkHeaders::from_headers(&headers).map_err(|e| unasked(Refused::from(e).0))?;
    let repeatable = is_repeatable(&agent, &application, &method, &path).map_err(unasked)?;
    let deadline = Deadline::after(agent.clock.now(), work.remaining);
    let query = uri.query().map_or(String::new(), |query| format!("?{query}"));
    let endpoint = Endpoint::new(agent.settings.target_address, format!("/{path}{query}"));
    let headers = forwarded(&headers);
    let call = Call { method, endpoint, headers, body, deadline };
    match key {
        None if !repeatable => Err(Refusal::not_run(Reason::KeyRequired).into()),
        None => run_once(&agent, &work, call).await,
        Some(key) => run_keyed(&agent, &work, &key, call).await,
    }
}

fn is_repeatable(
    agent: &Agent,
    application: &str,
    method: &Method,
    path: &str,
) -> Result<bool, Refusal> {
    let fleet = agent.core().config.fleet().ok_or(Refusal::not_run(Reason::NoConfiguration))?;
    let own = fleet.target(&agent.settings.target);
    if own.and_then(|target| target.application.as_deref()) != Some(application) {
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

/// Runs a call that may be repeated.
async fn run_once(agent: &Arc<Agent>, work: &WorkHeaders, call: Call) -> Result<Response, Refused> {
    let mut permit = admit(agent, work)?;
    match send(agent, &call).await {
        Ok(answer) => {
            permit.finish();
            Ok(respond(answer))
        }
        Err(error) => {
            permit.fail();
            let unsent = error.is_unsent();
            let make = if unsent { Refusal::not_run } else { Refusal::failed };
            Err(make(Reason::TargetFailed).into())
        }
    }
}

/// Runs a call under its key, or waits for the run that has begun.
async fn run_keyed(
    agent: &Arc<Agent>,
    work: &WorkHeaders,
    key: &IdempotencyKey,
    call: Call,
) -> Result<Response, Refused> {
    let begin = begin(agent, work, key, &call);
    let deadline = call.deadline;
    match begin {
        CallDecision::Replay(answer) => return Ok(respond(answer)),
        CallDecision::Refuse(refusal) => return Err(refusal.into()),
        CallDecision::Wait => {}
        // The task outlives the connection: once sent, the call's answer has to be recorded.
        CallDecision::Run(claim) => {
            agent.spawn_keyed_call(run_claim(Arc::clone(agent), claim, work.clone(), call));
        }
    }
    wait(agent, key, deadline).await
}

fn begin(agent: &Agent, work: &WorkHeaders, key: &IdempotencyKey, call: &Call) -> CallDecision {
    let now = agent.clock.now();
    let fingerprint = fingerprint(work, call);
    let mut core = agent.current_core();
    let open = match core.admission.check_phase() {
        Err(refusal) => Err(refusal.reason),
        Ok(()) if call.deadline.has_passed(now) => Err(Reason::DeadlineExceeded),
        Ok(()) => Ok(()),
    };
    let begin = core.keys.begin(key, &fingerprint, open, now);
    drop(core);
    log_begin(work, key, &begin);
    begin
}

async fn run_claim(agent: Arc<Agent>, claim: Claim<Recorded>, work: WorkHeaders, call: Call) {
    let mut permit = match wait_for_room(&agent, &work, call.deadline).await {
        Ok(permit) => permit,
        Err(reason) => {
            agent.core().keys.abandon(claim, reason);
            agent.notify_settled();
            return;
        }
    };
    let claim = agent.core().keys.dispatch(claim);
    let result = send(&agent, &call).await;
    match &result {
        Ok(_) => permit.finish(),
        Err(_) => permit.fail(),
    }
    let mut core = agent.core();
    match result {
        Ok(answer) => core.keys.record_answer(claim, answer),
        Err(error) if error.is_unsent() => {
            core.keys.record_unsent(claim, Reason::TargetFailed);
        }
        Err(_) => {
            core.keys.record_lost(claim);
        }
    }
    drop(core);
    agent.notify_settled();
}

/// Waits until the target has room for a call; the cap of a cold one admits few at a time.
///
/// The deadline and the phase are read again directly before the call is sent: the process may
/// have been paused, and the target may have been taken out.
async fn wait_for_room(
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
        let asked = Work {
            request: work.request,
            cost: Cost::default(),
            remaining: deadline.remaining(now),
            aged: false,
            leased: false,
        };
        let room = TargetCapacity { unleased: Tokens::MAX, total: 0, rate: 0 };
        let admitted = agent.current_core().admission.admit(asked, work.attempt, room, now);
        match admitted.map_err(|refusal| refusal.reason) {
            Ok(()) => return Ok(Permit::new(Arc::clone(agent), work)),
            Err(Reason::ColdStart | Reason::Overloaded) => {}
            Err(reason) => return Err(reason),
        }
        let _ = timeout(ROOM_INTERVAL, settled.changed()).await;
    }
}

/// Waits until the key is settled or the deadline has passed.
async fn wait(
    agent: &Arc<Agent>,
    key: &IdempotencyKey,
    deadline: Deadline,
) -> Result<Response, Refused> {
    let mut settled = agent.settled_keys.subscribe();
    let answered = async {
        loop {
            let result = agent.core().keys.result(key.id);
            if let Some(result) = result {
                return result.map(respond);
            }
            if settled.changed().await.is_err() {
                return Err(Refusal::unknown(Reason::ShuttingDown));
            }
        }
    };
    let result = timeout_at(deadline.instant().into(), answered).await;
    let result = result.unwrap_or(Err(Refusal::unknown(Reason::KeyInProgress)));
    result.map_err(Refused)
}

async fn send(agent: &Agent, call: &Call) -> Result<Answer, ClientError> {
    let sent = agent.client.send(
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
        let body = read_body(response.into_body(), MAX_ANSWER).await?;
        Ok(Answer { status, media_type, body: Some(body.to_vec().into()) })
    });
    answer.await.map_err(|_| ClientError::Timeout(remaining))?
}

fn respond(answer: Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response =
        (status, answer.body.map(|body| body.to_vec()).unwrap_or_default()).into_response();
    if let Ok(media_type) = HeaderValue::from_str(&answer.media_type) {
        response.headers_mut().insert(CONTENT_TYPE, media_type);
    }
    response
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
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

fn log_begin(work: &WorkHeaders, key: &IdempotencyKey, begin: &CallDecision) {
    let (request, attempt) = (work.request, work.attempt);
    let decision = match begin {
        CallDecision::Run(_) => "run",
        CallDecision::Wait => "wait",
        CallDecision::Replay(_) => "replay",
        CallDecision::Refuse(_) => "refuse",
    };
    let reason = match begin {
        CallDecision::Refuse(refusal) => <&'static str>::from(refusal.reason),
        _ => "",
    };
    info!(target: "decision", request:%, attempt, key:% = key.id, decision, reason; "key checked");
}
