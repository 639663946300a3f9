//! Admission of attempts, and their forwarding to the engine.

use super::{
    body::{Permit, forward},
    refuse::{RefusalResponse, log_refusal},
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

/// Handles `POST /work/completions`: starts a completion, or resumes its stream.
pub(crate) async fn complete(
    State(agent): State<Arc<Agent>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, RefusalResponse> {
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
            agent.state().kept_streams.remove(&work.request);
            let path = format!("/v1/streams/{}?from={position}", work.request);
            let endpoint = Endpoint::new(address, path);
            EngineCall { method: Method::GET, endpoint, body: Bytes::new() }
        }
    };
    call_engine(&agent, &work, permit, call, deadline).await
}

/// A request to the HTTP API of the engine.
pub(super) struct EngineCall {
    pub(super) method: Method,
    pub(super) endpoint: Endpoint,
    pub(super) body: Bytes,
}

/// Admits an attempt, or returns the refusal.
///
/// Work with a lease uses the memory of the lease, so the memory that is left for work without a
/// lease does not limit it.
pub(super) fn admit(agent: &Arc<Agent>, work: &WorkHeaders) -> Result<Permit, Refusal> {
    let now = agent.clock.now();
    let mut state = agent.current_state();
    let available = state.available_tokens(now);
    let (cost, unleased) = match work.lease {
        Some(lease) if state.leases.tokens(lease, now).is_none() => {
            return Err(Refusal::not_run(Reason::LeaseExpired));
        }
        Some(_) => (Cost { output: 0, ..work.cost }, u64::MAX),
        None => (work.cost, available),
    };
    let requested = Work {
        request: work.request,
        cost,
        remaining: work.remaining,
        aged: is_aged(work.priority, cost.class()),
        leased: work.lease.is_some(),
    };
    let capacity =
        TargetCapacity { unleased, total: state.load.kv_total, rate: state.load.prefill_rate };
    let result = state.admission.admit(requested, work.attempt, capacity, now);
    let (running, cap) = (state.admission.running(), state.admission.limit());
    let revision = state.config.revision();
    drop(state);
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

/// Sends an admitted attempt to the engine and streams the response to the entry.
pub(super) async fn call_engine(
    agent: &Arc<Agent>,
    work: &WorkHeaders,
    mut permit: Permit,
    call: EngineCall,
    deadline: Deadline,
) -> Result<Response, RefusalResponse> {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, axum::http::HeaderValue::from_static("application/json"));
    let sent = agent.target_client.send(call.method, &call.endpoint, headers, call.body);
    let sent = timeout_at(deadline.instant().into(), sent);
    let result = tokio::select! {
        result = sent => result,
        () = agent.wait_target_lost() => {
            permit.record_failed();
            return Err(Refusal::failed(Reason::TargetFailed).into());
        }
        () = agent.end_work.cancelled() => {
            let refusal = Refusal::failed(Reason::Interrupted);
            log_refusal(work.request, work.attempt, &refusal);
            return Err(refusal.into());
        }
    };
    let engine_response = match result {
        Ok(Ok(engine_response)) => engine_response,
        Ok(Err(error)) => {
            permit.record_failed();
            let refusal = match error.is_unsent() {
                true => Refusal::not_run(Reason::TargetFailed),
                false => Refusal::failed(Reason::TargetFailed),
            };
            log_refusal(work.request, work.attempt, &refusal);
            return Err(refusal.into());
        }
        Err(_) => return Err(Refusal::failed(Reason::DeadlineExceeded).into()),
    };
    if let Some(refusal) = Refusal::from_engine_status(engine_response.status().as_u16()) {
        if engine_response.status() == StatusCode::SERVICE_UNAVAILABLE {
            permit.record_failed();
        }
        log_refusal(work.request, work.attempt, &refusal);
        return Err(refusal.into());
    }
    let mut response = Response::new(Body::empty());
    *response.status_mut() = engine_response.status();
    if let Some(media_type) = engine_response.headers().get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, media_type.clone());
    }
    *response.body_mut() = forward(engine_response.into_body(), permit, deadline);
    Ok(response)
}
