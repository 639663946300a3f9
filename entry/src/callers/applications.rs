//! Handler of calls to applications.

use super::{body, caller::Caller, problem::Problem};
use crate::{
    dispatch::{ApplicationCall, call_application},
    entry::Entry,
};
use axum::{
    body::Body,
    extract::{Path, State},
    http::{HeaderMap, Method, Uri},
    response::{IntoResponse, Response},
};
use fulmarhead_lib::{
    cost::Cost,
    ids::{ApplicationId, RequestId},
    keys::IdempotencyKey,
    outcome::{Reason, Refusal},
    request::{Admitted, Cursor, Request},
};
use fulmarhead_runtime::{http::BodyLimits, work::IDEMPOTENCY_KEY};
use std::sync::Arc;

/// Handles requests of any method on `/apps/{application}/{path}`.
pub(crate) async fn call(
    State(entry): State<Arc<Entry>>,
    Path((application, path)): Path<(ApplicationId, String)>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let id = RequestId::now_v7();
    let requested = RequestedRoute { application, path, method, uri };
    match handle(&entry, id, requested, &headers, body).await {
        Ok(response) => response,
        Err(refusal) => Problem::record(id, refusal).into_response(),
    }
}

/// Application route that a caller requests.
struct RequestedRoute {
    application: ApplicationId,
    path: String,
    method: Method,
    uri: Uri,
}

async fn handle(
    entry: &Arc<Entry>,
    id: RequestId,
    requested: RequestedRoute,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let key = read_key(headers)?;
    let has_key = key.is_some();
    let prepared = prepare(entry, id, requested, headers, key, body).await;
    // The ledger of the key's owner was not consulted, so an earlier call with the same key may
    // have run.
    let (request, call) =
        prepared.map_err(|refusal| if has_key { refusal.without_ledger() } else { refusal })?;
    call_application(entry, request, call).await
}

/// Authenticates the caller, reads the body, and returns the admitted request and its call.
async fn prepare(
    entry: &Arc<Entry>,
    id: RequestId,
    requested: RequestedRoute,
    headers: &HeaderMap,
    key: Option<IdempotencyKey>,
    body: Body,
) -> Result<(Request<Admitted>, ApplicationCall), Refusal> {
    let caller = Caller::from_headers(entry, headers)?;
    let repeatable = is_repeatable(&caller, &requested)?;
    if key.is_none() && !repeatable {
        return Err(Refusal::not_run(Reason::KeyRequired));
    }
    let remaining = caller.deadline.remaining(entry.clock.now());
    let limits = BodyLimits { bytes: caller.fleet.bounds.max_body, time: remaining, copies: 1 };
    let body = body::read(entry, body, limits).await?.into_bytes();
    entry.check_stop(caller.deadline)?;
    let request = Request::new(id, caller.team.id.clone(), Cost::default(), caller.deadline);
    // The cursor starts at the first attempt and position 0.
    let request = request.admit(Cursor::new(1, 0), key.is_none());
    let query = requested.uri.query().map_or(String::new(), |query| format!("?{query}"));
    let call = ApplicationCall {
        path: format!("/work/apps/{}/{}{query}", requested.application, requested.path),
        application: requested.application,
        method: requested.method,
        content_type: headers.get("content-type").cloned(),
        key,
        body,
        priority: caller.team.priority,
        fleet: caller.fleet,
    };
    Ok((request, call))
}

/// Returns whether calls on a route may run more than once.
///
/// # Errors
///
/// Returns a refusal if the application or route is not configured or the team may not use it.
fn is_repeatable(caller: &Caller, requested: &RequestedRoute) -> Result<bool, Refusal> {
    let unknown = Refusal::not_run(Reason::UnknownApplication);
    if !caller.team.applications.contains(&requested.application) {
        return Err(unknown);
    }
    let application = caller.fleet.application(&requested.application).ok_or(unknown)?;
    let path = format!("/{}", requested.path);
    let route = application.route(requested.method.as_str(), &path).ok_or(unknown)?;
    Ok(route.repeatable)
}

/// Returns the idempotency key in the headers, if there is one.
fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    let key = value.to_str().ok().and_then(|text| text.parse().ok());
    key.map(Some).ok_or(Refusal::not_run(Reason::KeyNotIssued))
}
