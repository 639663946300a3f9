//! Calls to applications: repeatable ones at any worker, others at the owner of their key.

use super::{
    attempt::{Tally, read_refusal},
    pace::Pace,
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

/// A call to an application.
#[derive(Clone, Debug)]
pub(crate) struct ApplicationCall {
    pub(crate) application: ApplicationId,
    pub(crate) path: String,
    pub(crate) method: Method,
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) body: Bytes,
    pub(crate) priority: u8,
    pub(crate) fleet: Arc<Fleet>,
}

/// Runs a call within its time limit.
pub(crate) async fn call_application(
    entry: &Arc<Entry>,
    mut request: Request<Admitted>,
    call: ApplicationCall,
) -> Result<Response, Refusal> {
    let deadline = request.deadline.instant();
    let run = async {
        match &call.key {
            Some(key) => run_keyed(entry, &mut request, &call, key).await,
            None => run_repeatable(entry, &mut request, &call).await,
        }
    };
    match timeout_at(deadline.into(), run).await {
        Ok(result) => result,
        // An earlier attempt with the same key may have run at another entry's order.
        Err(_) if call.key.is_some() => Err(Refusal::unknown(Reason::DeadlineExceeded)),
        Err(_) => Err(request.timeout_refusal()),
    }
}

/// Sends a call to the owner of its key, again if the connection was lost.
async fn run_keyed(
    entry: &Arc<Entry>,
    request: &mut Request<Admitted>,
    call: &ApplicationCall,
    key: &IdempotencyKey,
) -> Result<Response, Refusal> {
    let mut pace = Pace::new();
    loop {
        // Only the owner can say that the key has not run and will not.
        let unreachable = Refusal::unknown(Reason::KeyOwnerUnreachable);
        let sent = match call.fleet.target(&key.target) {
            Some(_) => send(entry, request, call, &key.target).await,
            None => return Err(Refusal::unknown(Reason::KeyOwnerGone)),
        };
        let refusal = match sent {
            Ok(response) => return Ok(response),
            Err(Lost::Refused(refusal)) => return Err(refusal),
            Err(Lost::Unsent(refusal)) => return Err(refusal.without_ledger()),
            Err(Lost::Connection) => unreachable,
        };
        let wait = pace.next_round();
        if request.deadline.remaining(entry.clock.now()) <= wait {
            return Err(refusal);
        }
        sleep(wait).await;
    }
}

async fn run_repeatable(
    entry: &Arc<Entry>,
    request: &mut Request<Admitted>,
    call: &ApplicationCall,
) -> Result<Response, Refusal> {
    let mut pace = Pace::new();
    entry.core().retries.deposit();
    loop {
        let Some(target) = choose(entry, call, &pace) else {
            let wait = pace.next_round();
            if request.deadline.remaining(entry.clock.now()) <= wait {
                return Err(pace.last());
            }
            sleep(wait).await;
            continue;
        };
        request.dispatch();
        let refusal = match send(entry, request, call, &target).await {
            Ok(response) => return Ok(response),
            Err(Lost::Refused(refusal) | Lost::Unsent(refusal)) => refusal,
            Err(Lost::Connection) => Refusal::failed(Reason::TargetFailed),
        };
        if refusal.outcome == Outcome::NotRun {
            request.record_refusal();
        }
        if !request.may_retry(&refusal, entry.clock.now()) {
            return Err(refusal);
        }
        if refusal.reason == Reason::TargetFailed && !entry.core().retries.try_withdraw() {
            return Err(refusal);
        }
        request.cursor().next_attempt();
        pace.refused(&target, refusal);
    }
}

fn choose(entry: &Entry, call: &ApplicationCall, pace: &Pace) -> Option<TargetId> {
    if pace.is_round_over() {
        return None;
    }
    let draw = RequestId::new_v4().as_u64_pair().0;
    let now = entry.clock.now();
    let mut core = entry.core();
    let candidates = core.known.workers(&call.application, pace.tried(), draw, now);
    match core.router.decide(RequestProfile::default(), &candidates, draw) {
        Decision::Send(candidate) => Some(candidate.target.clone()),
        Decision::Wait | Decision::Refuse(_) => None,
    }
}

/// Why a call got no answer.
enum Lost {
    /// The agent refused it.
    Refused(Refusal),
    /// The entry could not send it.
    Unsent(Refusal),
    /// The agent could not be reached or the connection was lost.
    Connection,
}

async fn send(
    entry: &Arc<Entry>,
    request: &Request<Admitted>,
    call: &ApplicationCall,
    target: &str,
) -> Result<Response, Lost> {
    let unsent = |reason| Lost::Unsent(Refusal::not_run(reason));
    let fleet = entry.fleet().map_err(Lost::Unsent)?;
    let address = fleet.target(target).map(|target| target.work);
    let address = address.ok_or(Lost::Connection)?;
    let _tally = Tally::new(entry, target, Cost::default());
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
    let mut headers = work.to_headers().map_err(|_| unsent(Reason::MalformedRequest))?;
    if let Some(content_type) = &call.content_type {
        headers.insert(CONTENT_TYPE, content_type.clone());
    }
    if let Some(key) = &call.key {
        let value = HeaderValue::from_str(&key.to_string());
        headers.insert(IDEMPOTENCY_KEY, value.map_err(|_| unsent(Reason::KeyNotIssued))?);
    }
    info!(
        target: "decision", request:% = request.id, attempt = attempt.number, target_id = target;
        "call sent"
    );
    let endpoint = Endpoint::new(address, call.path.clone());
    let sent = entry.client.send(call.method.clone(), &endpoint, headers, call.body.clone());
    let answer = tokio::select! {
        answer = sent => answer.map_err(|_| Lost::Connection)?,
        () = entry.target_lost(target) => return Err(Lost::Connection),
    };
    entry.observe(target, answer.headers(), None);
    if answer.headers().contains_key(REFUSAL) {
        let refusal = read_refusal(answer).await;
        return Err(refusal.map_or(Lost::Connection, Lost::Refused));
    }
    let mut answer = answer.map(Body::new);
    answer.headers_mut().remove(LOAD);
    Ok(answer)
}
