//! Handler that issues idempotency keys.

use super::{caller::Caller, problem::Problem};
use crate::entry::Entry;
use axum::{
    Json,
    extract::{Path, State},
    http::{HeaderMap, StatusCode},
};
use fulmarhead_lib::{
    ids::{ApplicationId, RequestId},
    keys::IdempotencyKey,
    outcome::{Reason, Refusal},
    routing::{Decision, RequestProfile},
};
use log::info;
use serde_json::{Value, json};
use std::{collections::BTreeSet, sync::Arc};

/// Handles `POST /apps/{application}/keys`, which returns a new key for one call.
pub(crate) async fn issue(
    State(entry): State<Arc<Entry>>,
    Path(application): Path<ApplicationId>,
    headers: HeaderMap,
) -> Result<(StatusCode, Json<Value>), Problem> {
    let request = RequestId::now_v7();
    let key = issue_key(&entry, &application, &headers)
        .map_err(|refusal| Problem::record(request, refusal))?;
    info!(target: "decision", request:%, target_id = key.target, key:% = key.id; "key issued");
    Ok((StatusCode::CREATED, Json(json!({ "key": key.to_string() }))))
}

/// Returns a new key that is owned by one of the workers of an application.
fn issue_key(
    entry: &Entry,
    application: &str,
    headers: &HeaderMap,
) -> Result<IdempotencyKey, Refusal> {
    let caller = Caller::from_headers(entry, headers)?;
    if !caller.team.applications.iter().any(|id| id == application) {
        return Err(Refusal::not_run(Reason::UnknownApplication));
    }
    let now = entry.clock.now();
    let draw = RequestId::new_v4().as_u64_pair().0;
    let mut state = entry.state();
    let candidates = state.targets.workers(application, &BTreeSet::new(), draw, now);
    let chosen = match state.router.decide(RequestProfile::default(), &candidates, draw) {
        Decision::Send(candidate) => Some(candidate),
        // The call arrives later, so a worker without capacity now is as suitable as any other.
        Decision::Wait | Decision::Refuse(_) => candidates.first(),
    };
    let target = chosen.ok_or(Refusal::not_run(Reason::NoTarget))?.target.clone();
    let incarnation = state.targets.incarnation(&target);
    drop(state);
    let incarnation = incarnation.ok_or(Refusal::not_run(Reason::NoTarget))?;
    Ok(IdempotencyKey::issue(target, incarnation, entry.clock.wall()))
}
