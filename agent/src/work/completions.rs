//! Completions by the engine.

use super::{
    body::{Permit, forward},
    refuse::{Refused, log_refusal},
};
use crate::agent::Agent;
use axum::{
    body::{Body, Bytes},
    extract::State,
    http::{HeaderMap, Method, StatusCode, header::CONTENT_TYPE},
    response::Response,
};
use fulmarhead_lib::{
    admission::{TargetCapacity, Work},
    cost::Cost,
    outcome::{Reason, Refusal},
    request::Deadline,
    routing::is_aged,
};
use fulmarhead_runtime::{http::Endpoint, work::WorkHeaders};
use log::info;
use std::sync::Arc;
use tokio::time::timeout_at;

/// Answers `POST /work/completions`.
pub(crate) async fn complete(
    State(agent): State<Arc<Agent>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, Refused> {
    let work = WorkHeaders::from_headers(&headers)?;
    let deadline = Deadline::after(agent.clock.now(), work.remaining);
    let permit = admit(&agent, &work)?;
    let address = agent.settings.target_address;
    let call = match work.resume_from {
        None => EngineCall {
            method: Method::POST,
            endpoint: Endpoint::new(address, "/v1/completions"),
            body,
        },
        Some(position) => {
            agent.core().kept_streams.remove(&work.request);
            let path = format!("/v1/streams/{}?from={position}", work.request);
            let endpoint = Endpoint::new(address, path);
            EngineCall { method: Method::GET, endpoint, body: Bytes::new() }
        }
    };
    run(&agent, &work, permit, call, deadline).await
}

/// A call to the engine.
pub(super) struct EngineCall {
    pub(super) method: Method,
    pub(super) endpoint: Endpoint,
    pub(super) body: Bytes,
}

/// Admits an attempt; memory that a lease holds is not asked for again.
pub(super) fn admit(agent: &Arc<Agent>, work: &WorkHeaders) -> Result<Permit, Refusal> {
    let now = agent.clock.now();
    let mut core = agent.current_core();
    let unleased = core.available_tokens(now);
    let (cost, unleased) = match work.lease {
        Some(lease) if core.leases.tokens(lease, now).is_none() => {
            return Err(Refusal::not_run(Reason::LeaseExpired));
        }
        Some(_) => (Cost { output: 0, ..work.cost }, u64::MAX),
        None => (work.cost, unleased),
    };
    let asked = Work {
        request: work.request,
        cost,
        remaining: work.remaining,
        aged: is_aged(work.priority, cost.class()),
        leased: work.lease.is_some(),
    };
    let room = TargetCapacity { unleased, total: core.load.kv_total, rate: core.load.prefill_rate };
    let result = core.admission.admit(asked, work.attempt, room, now);
    let (running, cap) = (core.admission.running(), core.admission.limit());
    let revision = core.config.revision();
    drop(core);
    let (request, attempt) = (work.request, work.attempt);
    match result {
        Ok(()) => {
            metrics::counter!("fulmarhead_attempts_admitted_total").increment(1);
            info!(target: "decision", request:%, attempt, running, cap, revision; "attempt admitted");
            Ok(Permit::new(Arc::clone(agent), work))
        }
        Err(refusal) => {
            log_refusal(request, attempt, &refusal);
            Err(refusal)
        }
    }
}

/// Sends an admitted attempt to the engine and passes the answer on.
pub(super) async fn run(
    agent: &Arc<Agent>,
    work: &WorkHeaders,
    mut permit: Permit,
    call: EngineCall,
    deadline: Deadline,
) -> Result<Response, Refused> {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, axum::http::HeaderValue::from_static("application/json"));
    let call = agent.client.send(call.method, &call.endpoint, headers, call.body);
    let call = timeout_at(deadline.instant().into(), call);
    let answer = tokio::select! {
        answer = call => answer,
        () = agent.wait_target_lost() => {
            permit.fail();
            return Err(Refusal::failed(Reason::TargetFailed).into());
        }
    };
    let answer = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            permit.fail();
            let refusal = match error.is_unsent() {
                true => Refusal::not_run(Reason::TargetFailed),
                false => Refusal::failed(Reason::TargetFailed),
            };
            log_refusal(work.request, work.attempt, &refusal);
            return Err(refusal.into());
        }
        Err(_) => return Err(Refusal::failed(Reason::DeadlineExceeded).into()),
    };
    if let Some(refusal) = refusal_of(answer.status()) {
        if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
            permit.fail();
        }
        log_refusal(work.request, work.attempt, &refusal);
        return Err(refusal.into());
    }
    let mut response = Response::new(Body::empty());
    *response.status_mut() = answer.status();
    if let Some(media_type) = answer.headers().get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, media_type.clone());
    }
    *response.body_mut() = forward(answer.into_body(), permit, deadline);
    Ok(response)
}

fn refusal_of(status: StatusCode) -> Option<Refusal> {
    let reason = match status {
        StatusCode::SERVICE_UNAVAILABLE => Reason::Overloaded,
        StatusCode::INSUFFICIENT_STORAGE => Reason::NoMemory,
        StatusCode::NOT_FOUND => Reason::OutOfService,
        status if status.is_success() => return None,
        _ => Reason::TargetFailed,
    };
    Some(Refusal::not_run(reason))
}
