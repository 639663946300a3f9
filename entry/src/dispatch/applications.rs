//! Calls to applications.
//!
//! A call without an idempotency key is repeatable and goes to any worker, that is, any target that
//! runs the application. A call with one goes to the target that owns the key.

use super::{
    attempt::{InflightGuard, read_refusal},
    rounds::RetryRounds,
};
use crate::entry::Entry;
use axum::{
    body::Body,
    http::{HeaderValue, Method, header::CONTENT_TYPE},
    response::Response,
};
use bytes::Bytes;
use fulmarhead_lib::{
    config::Fleet,
    cost::Cost,
    ids::{ApplicationId, RequestId, TargetId},
    keys::IdempotencyKey,
    outcome::{Outcome, Reason, Refusal},
    request::{Admitted, Request},
    routing::{Decision, RequestProfile},
};
use fulmarhead_runtime::{
    http::Endpoint,
    work::{IDEMPOTENCY_KEY, LOAD, REFUSAL, WorkHeaders},
};
use log::info;
use std::sync::Arc;
use tokio::time::{sleep, timeout_at};

/// A call to an application, as sent to a target.
#[derive(Clone, Debug)]
pub(crate) struct ApplicationCall {
    pub(crate) application: ApplicationId,
    /// Path and query at the agent.
    pub(crate) path: String,
    pub(crate) method: Method,
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) body: Bytes,
    pub(crate) priority: u8,
    pub(crate) fleet: Arc<Fleet>,
}

/// Runs a call until it is answered or refused, its deadline passes, or the entry is about to end.
///
/// # Errors
///
/// Returns a refusal if no target answered. For a call with a key, its outcome is `NotRun` only if
/// the owner of the key said so.
pub(crate) async fn call_application(
    entry: &Arc<Entry>,
    mut request: Request<Admitted>,
    call: ApplicationCall,
) -> Result<Response, Refusal> {
    let deadline = request.deadline.instant();
    let run = async {
        match &call.key {
            Some(key) => call_key_owner(entry, &mut request, &call, key).await,
            None => {
                let result = call_any_worker(entry, &mut request, &call).await;
                result.map_err(|refusal| request.correct_outcome(refusal))
            }
        }
    };
    let result = tokio::select! {
        biased;
        result = timeout_at(deadline.into(), run) => Some(result),
        () = entry.end_requests.cancelled() => None,
    };
    // An earlier call with the same key, sent by another entry, may have run.
    match result {
        Some(Ok(result)) => result,
        Some(Err(_)) if call.key.is_some() => Err(Refusal::unknown(Reason::DeadlineExceeded)),
        Some(Err(_)) => Err(request.timeout_refusal()),
        None if call.key.is_some() => Err(Refusal::unknown(Reason::Interrupted)),
        None => Err(request.stop_refusal()),
    }
}

/// Sends a call to the target that owns its key, and retries after a lost connection.
async fn call_key_owner(
    entry: &Arc<Entry>,
    request: &mut Request<Admitted>,
    call: &ApplicationCall,
    key: &IdempotencyKey,
) -> Result<Response, Refusal> {
    let mut rounds = RetryRounds::new();
    loop {
        // Only the owner of the key can rule out that the call has run or will run.
        let owner_unreachable = Refusal::unknown(Reason::KeyOwnerUnreachable);
        let result = match call.fleet.target(&key.target) {
            Some(_) => send_call(entry, request, call, &key.target).await,
            None => return Err(Refusal::unknown(Reason::KeyOwnerGone)),
        };
        let refusal = match result {
            Ok(response) => return Ok(response),
            Err(SendError::Refused(refusal)) => return Err(refusal),
            Err(SendError::NotSent(refusal)) => return Err(refusal.without_ledger()),
            Err(SendError::OutcomeUnknown) => owner_unreachable,
        };
        let wait = rounds.next_round();
        if request.deadline.remaining(entry.clock.now()) <= wait {
            return Err(refusal);
        }
        sleep(wait).await;
    }
}

/// Sends a repeatable call to one worker after another until one of them answers.
async fn call_any_worker(
    entry: &Arc<Entry>,
    request: &mut Request<Admitted>,
    call: &ApplicationCall,
) -> Result<Response, Refusal> {
    let mut rounds = RetryRounds::new();
    entry.state().retry_budget.deposit();
    loop {
        let Some(target) = choose_worker(entry, call, &rounds) else {
            let wait = rounds.next_round();
            if request.deadline.remaining(entry.clock.now()) <= wait {
                return Err(rounds.last_refusal());
            }
            sleep(wait).await;
            continue;
        };
        request.dispatch();
        let refusal = match send_call(entry, request, call, &target).await {
            Ok(response) => return Ok(response),
            Err(SendError::Refused(refusal) | SendError::NotSent(refusal)) => refusal,
            Err(SendError::OutcomeUnknown) => Refusal::failed(Reason::TargetFailed),
        };
        if refusal.outcome == Outcome::NotRun {
            request.record_refusal();
        } else {
            request.record_failure();
        }
        if !request.may_retry(&refusal, entry.clock.now()) {
            return Err(refusal);
        }
        if refusal.reason == Reason::TargetFailed && !entry.state().retry_budget.try_withdraw() {
            return Err(refusal);
        }
        request.cursor().next_attempt();
        rounds.record_failed_attempt(&target, refusal);
    }
}

/// Chooses a worker that was not tried in this round, or `None` if the call has to wait.
fn choose_worker(entry: &Entry, call: &ApplicationCall, rounds: &RetryRounds) -> Option<TargetId> {
    if rounds.is_round_over() {
        return None;
    }
    let draw = RequestId::new_v4().as_u64_pair().0;
    let now = entry.clock.now();
    let mut state = entry.state();
    let candidates = state.targets.workers(&call.application, rounds.tried(), draw, now);
    match state.router.decide(RequestProfile::default(), &candidates, draw) {
        Decision::Send(candidate) => Some(candidate.target.clone()),
        Decision::Wait | Decision::Refuse(_) => None,
    }
}

/// Reasons why a call received no answer.
enum SendError {
    /// The agent refused the call.
    Refused(Refusal),
    /// The call was not sent, because no configuration is active or a header is malformed.
    NotSent(Refusal),
    /// The target is no longer configured, its agent can't be reached, the connection was lost, or
    /// the refusal of the agent can't be read. The call may have run.
    OutcomeUnknown,
}

/// Sends a call to the agent of `target` and returns the response of the application.
async fn send_call(
    entry: &Arc<Entry>,
    request: &Request<Admitted>,
    call: &ApplicationCall,
    target: &str,
) -> Result<Response, SendError> {
    let not_sent = |reason| SendError::NotSent(Refusal::not_run(reason));
    let fleet = entry.fleet().map_err(SendError::NotSent)?;
    let address = fleet.target(target).map(|target| target.work);
    let address = address.ok_or(SendError::OutcomeUnknown)?;
    // Calls to applications have no cost in tokens.
    let _inflight = InflightGuard::new(entry, target, Cost::default());
    let attempt = request.attempt();
    let work = WorkHeaders {
        request: request.id,
        attempt: attempt.number,
        team: request.team.clone(),
        remaining: request.deadline.remaining(entry.clock.now()),
        priority: call.priority,
        revision: fleet.revision,
        cost: Cost::default(),
        lease: None,
        keep_stream: false,
        resume_from: None,
    };
    let mut headers = work.to_headers().map_err(|_| not_sent(Reason::MalformedRequest))?;
    if let Some(content_type) = &call.content_type {
        headers.insert(CONTENT_TYPE, content_type.clone());
    }
    if let Some(key) = &call.key {
        let value = HeaderValue::from_str(&key.to_string());
        headers.insert(IDEMPOTENCY_KEY, value.map_err(|_| not_sent(Reason::KeyNotIssued))?);
    }
    info!(
        target: "decision", request:% = request.id, attempt = attempt.number, target_id = target;
        "call sent"
    );
    let endpoint = Endpoint::new(address, call.path.clone());
    let exchange = entry.client.send(call.method.clone(), &endpoint, headers, call.body.clone());
    let response = tokio::select! {
        response = exchange => response.map_err(|_| SendError::OutcomeUnknown)?,
        () = entry.wait_target_lost(target) => return Err(SendError::OutcomeUnknown),
    };
    entry.record_load(target, response.headers(), None);
    if response.headers().contains_key(REFUSAL) {
        let refusal = read_refusal(response).await;
        return Err(refusal.map_or(SendError::OutcomeUnknown, SendError::Refused));
    }
    let mut response = response.map(Body::new);
    response.headers_mut().remove(LOAD);
    Ok(response)
}
