//! Calls to applications.

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
use fulmarhead_runtime::work::IDEMPOTENCY_KEY;
use std::sync::Arc;

/// Answers any method on `/apps/{application}/{path}`.
pub(crate) async fn call(
    State(entry): State<Arc<Entry>>,
    Path((application, path)): Path<(ApplicationId, String)>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let id = RequestId::now_v7();
    let target = Target { application, path, method, uri };
    match run(&entry, id, target, &headers, body).await {
        Ok(response) => response,
        Err(refusal) => Problem::refuse(id, refusal).into_response(),
    }
}

/// What a caller asks for.
struct Target {
    application: ApplicationId,
    path: String,
    method: Method,
    uri: Uri,
}

async fn run(
    entry: &Arc<Entry>,
    id: RequestId,
    target: Target,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let key = read_key(headers)?;
    let keyed = key.is_some();
    let prepared = prepare(entry, id, target, headers, key, body).await;
    // The owner was not asked yet, and an earlier call with the key may have run.
    let (request, call) =
        prepared.map_err(|refusal| if keyed { refusal.without_ledger() } else { refusal })?;
    call_application(entry, request, call).await
}

async fn prepare(
    entry: &Arc<Entry>,
    id: RequestId,
    target: Target,
    headers: &HeaderMap,
    key: Option<IdempotencyKey>,
    body: Body,
) -> Result<(Request<Admitted>, ApplicationCall), Refusal> {
    let caller = Caller::identify(entry, headers)?;
    let repeatable = check(&caller, &target)?;
    if key.is_none() && !repeatable {
        return Err(Refusal::not_run(Reason::KeyRequired));
    }
    let remaining = caller.deadline.remaining(entry.clock.now());
    let body = body::read(body, caller.fleet.bounds.max_body, remaining).await?;
    let request = Request::new(id, caller.team.id.clone(), Cost::default(), caller.deadline);
    let request = request.admit(Cursor::new(1, 0), key.is_none());
    let query = target.uri.query().map_or(String::new(), |query| format!("?{query}"));
    let call = ApplicationCall {
        path: format!("/work/apps/{}/{}{query}", target.application, target.path),
        application: target.application,
        method: target.method,
        content_type: headers.get("content-type").cloned(),
        key,
        body,
        priority: caller.team.priority,
        fleet: caller.fleet,
    };
    Ok((request, call))
}

fn check(caller: &Caller, target: &Target) -> Result<bool, Refusal> {
    let unknown = Refusal::not_run(Reason::UnknownApplication);
    if !caller.team.applications.contains(&target.application) {
        return Err(unknown);
    }
    let application = caller.fleet.application(&target.application).ok_or(unknown)?;
    let path = format!("/{}", target.path);
    let route = application.route(target.method.as_str(), &path).ok_or(unknown)?;
    Ok(route.repeatable)
}

fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    let key = value.to_str().ok().and_then(|text| text.parse().ok());
    key.map(Some).ok_or(Refusal::not_run(Reason::KeyNotIssued))
}
