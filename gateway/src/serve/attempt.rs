//! Runs one attempt of a call: selects a target, sends the request and evaluates the head of the
//! response.

use super::{
    handle::RequestContext,
    in_flight::InFlightWork,
    open_requests::Stage,
    record,
    send::{OpenResponse, PendingResponse, SendError, TargetConnection},
    waiting::choose_servable,
};
use crate::leases::{HeldLeases, acquire_leases};
use bytes::Bytes;
use fulmarhead_lib::{
    forward::{Call, Failure, Progress, ResponseHead, Sent, Unsent, Verdict},
    ids::TargetId,
    placement::{AttemptResult, Backoff, Choice, Helper, PlacementError, RequestProfile},
    routes::{RouteMatch, Service},
};
use fulmarhead_platform::{
    PrefillHelper, TargetRequest, decode_response_head, target_request_headers,
};
use http_body_util::Full;
use hyper::{Request, body::Incoming, http::uri::PathAndQuery};
use std::{net::SocketAddr, time::Duration};
use tokio_util::task::AbortOnDropHandle;

/// Interval at which a request checks whether its silent target has failed.
pub(super) const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Multiple of the silence timeout after which a target that still answers other requests is
/// considered to have lost this request.
const LOST_REQUEST_FACTOR: u32 = 2;

/// A target that has sent a response head that can be passed to the caller.
pub(super) struct TargetResponse {
    pub(super) call: Call<Sent>,
    pub(super) choice: Choice,
    pub(super) head: ResponseHead,
    pub(super) headers: hyper::HeaderMap,
    pub(super) body: Incoming,
    pub(super) work: InFlightWork,
    /// Keeps the connection open until the body has been read.
    pub(super) connection: AbortOnDropHandle<()>,
}

/// An attempt that ended without a response for the caller.
pub(super) struct FailedAttempt {
    pub(super) call: Call<Unsent>,
    pub(super) failure: Failure,
    /// Time after which a target may accept the request, if it is known.
    pub(super) retry_after: Option<Duration>,
}

impl FailedAttempt {
    fn new(call: Call<Unsent>, failure: Failure) -> Self {
        Self { call, failure, retry_after: None }
    }
}

/// Sends a call to one target and waits for the head of its response. `last_event` is the last
/// event that the caller has received.
///
/// # Errors
///
/// Returns the call, which no target works on any more, and the reason, if no target can take the
/// request or the target sends no response for the caller.
pub(super) async fn run_attempt(
    context: &RequestContext,
    call: Call<Unsent>,
    last_event: Option<u64>,
) -> Result<TargetResponse, FailedAttempt> {
    let (gateway, features) = (&context.gateway, &context.features);
    if gateway.end_requests.is_cancelled() {
        return Err(FailedAttempt::new(call, Failure::Stopping));
    }
    if gateway.quarantine_refusal(features).is_some() {
        return Err(FailedAttempt::new(call, Failure::Quarantined));
    }
    let (route_match, service) = match context.select_service() {
        Ok(selection) => selection,
        Err(failure) => return Err(FailedAttempt::new(call, failure)),
    };
    if call.is_retry() && !gateway.try_withdraw_retry(&service) {
        return Err(FailedAttempt::new(call, Failure::Overloaded));
    }
    let choice = match choose_servable(context, &route_match, &service, &call) {
        Ok(choice) => choice,
        Err(PlacementError::NoTarget) => return Err(FailedAttempt::new(call, Failure::NoTarget)),
        Err(PlacementError::Full) => return Err(FailedAttempt::new(call, Failure::Overloaded)),
        Err(PlacementError::Paused(pause)) => {
            let failed = FailedAttempt::new(call, Failure::Paused);
            return Err(FailedAttempt { retry_after: Some(pause), ..failed });
        }
    };
    let leases = tokio::select! {
        leases = acquire_leases(gateway, &context.head.request_id, &choice.helpers) => leases,
        () = gateway.end_requests.cancelled() => {
            return Err(FailedAttempt::new(call, Failure::Stopping));
        }
    };
    let Ok(leases) = leases else {
        return Err(FailedAttempt::new(call, Failure::Overloaded));
    };
    let now = gateway.clock.now();
    // Acquiring the leases took time.
    if !gateway.state().pool.wants_requests(&choice, now) {
        return Err(FailedAttempt::new(call, Failure::Overloaded));
    }
    if gateway.state().quarantine.begin_send(features, now).is_err() {
        return Err(FailedAttempt::new(call, Failure::Quarantined));
    }
    let mut work = InFlightWork::begin(context, &service, &choice, leases);
    context.record_sent(&route_match, &service, &choice);
    let call = call.send(choice.target.clone());
    context.open.set_stage(Stage::Sent);
    let attempt_number = context.next_attempt();
    let remaining = call.deadline().remaining(now);
    record::target_chosen(
        &context.head.request_id,
        &context.profile,
        &choice,
        attempt_number,
        remaining,
    );
    let send = send_request(context, &route_match, &choice, &call, last_event, &work.leases);
    let result = tokio::select! {
        biased;
        result = send => result,
        () = gateway.wait_quarantined(features) => Err(SendError::Quarantined),
        () = gateway.end_requests.cancelled() => Err(SendError::Stopping),
    };
    let open_response = match result {
        Ok(open_response) => open_response,
        Err(error) => {
            if matches!(error, SendError::Lost(_)) {
                gateway.report_loss(&choice, Progress::Waiting, features);
            }
            return Err(fail_attempt(context, call, &mut work, &error));
        }
    };
    evaluate_response(context, call, choice, work, open_response)
}

/// Selects a target that is not in `tried`, and one in back-off only if no other can take the
/// request. A retry counts as overdue, so that it is not refused for being late.
pub(super) fn choose_target(
    context: &RequestContext,
    service: &Service,
    tried: &[TargetId],
) -> Result<Choice, PlacementError> {
    let gateway = &context.gateway;
    let (now, entry_count) = (gateway.clock.now(), gateway.entry_count());
    let profile =
        RequestProfile { overdue: context.profile.overdue || !tried.is_empty(), ..context.profile };
    let mut state = gateway.state();
    match state.pool.choose(service, &profile, tried, Backoff::Respect, entry_count, now) {
        Err(PlacementError::Full) => {
            state.pool.choose(service, &profile, tried, Backoff::Ignore, entry_count, now)
        }
        result => result,
    }
}

async fn send_request(
    context: &RequestContext,
    route_match: &RouteMatch,
    choice: &Choice,
    call: &Call<Sent>,
    last_event: Option<u64>,
    leases: &HeldLeases,
) -> Result<OpenResponse, SendError> {
    let connection = TargetConnection::open(choice.address).await?;
    let remaining = call.deadline().remaining(context.gateway.clock.now());
    let prefill_helpers = choice.helpers.iter().map(|helper| PrefillHelper {
        address: helper.address,
        lease: leases.lease_id(&helper.target),
    });
    let helpers: Vec<PrefillHelper> = prefill_helpers.collect();
    let target_request = TargetRequest {
        target: &choice.target,
        team: route_match.team.as_deref(),
        remaining,
        last_event,
        helpers: &helpers,
    };
    let path = context.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.method.clone();
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() =
        target_request_headers(&context.headers, &target_request).map_err(std::io::Error::other)?;
    let pending = connection.send(request).await?;
    wait_for_head(context, call, pending).await
}

/// Waits for the head of the response. Silence ends the attempt before its deadline only if the
/// call can be retried at another target.
async fn wait_for_head(
    context: &RequestContext,
    call: &Call<Sent>,
    mut pending: PendingResponse,
) -> Result<OpenResponse, SendError> {
    let clock = &context.gateway.clock;
    let sent_at = clock.now();
    let mut wait = context.silence_timeout();
    loop {
        let remaining = call.deadline().remaining(clock.now());
        if let Some(response) = pending.wait_head(remaining.min(wait)).await {
            context.gateway.state().pool.record_activity(call.target(), clock.now());
            return Ok(pending.into_response(response?));
        }
        let waited = clock.now().saturating_duration_since(sent_at);
        if remaining <= wait {
            return Err(SendError::Timeout);
        }
        if should_fail_over(context, call, waited) {
            return Err(SendError::Silent(waited));
        }
        wait = SILENCE_CHECK_INTERVAL;
    }
}

fn fail_attempt(
    context: &RequestContext,
    call: Call<Sent>,
    work: &mut InFlightWork,
    error: &SendError,
) -> FailedAttempt {
    let now = context.gateway.clock.now();
    let failure = match error {
        SendError::Timeout => Failure::Timeout,
        SendError::Silent(_) => Failure::Silent,
        SendError::Quarantined => Failure::Quarantined,
        SendError::Stopping => Failure::Stopping,
        _ => Failure::ConnectionLost,
    };
    let waited = now.saturating_duration_since(work.started_at);
    // A deadline that passed before the silence timeout says nothing about the target.
    // Neither does the quarantine of a part or the stop of this entry.
    let is_targets_fault = !matches!(failure, Failure::Quarantined | Failure::Stopping)
        && (!call.deadline().has_passed(now) || waited >= context.silence_timeout());
    if is_targets_fault {
        work.set_result(match error.is_unsent() {
            true => AttemptResult::Unreachable,
            false => AttemptResult::Failed,
        });
    }
    let elapsed = now.saturating_duration_since(context.received_at);
    record::attempt_failed(context, call.target(), work.progress(), &error.to_string(), elapsed);
    match error.is_unsent() {
        true => FailedAttempt::new(call.record_not_sent(), failure),
        false => FailedAttempt::new(call.record_lost(), failure),
    }
}

fn evaluate_response(
    context: &RequestContext,
    call: Call<Sent>,
    choice: Choice,
    mut work: InFlightWork,
    open_response: OpenResponse,
) -> Result<TargetResponse, FailedAttempt> {
    let (parts, body) = open_response.response.into_parts();
    let head = decode_response_head(parts.status, &parts.headers, &context.head.request_id);
    context.gateway.record_notice(&choice, head.notice);
    context.gateway.record_rate(&choice, head.rate_notice, work.started_at);
    context.gateway.record_observed_load(&choice, head.observed_load);
    let verdict = head.verdict();
    if verdict == Verdict::Answer {
        work.record_begin();
        context.open.set_stage(Stage::Responding);
        let (headers, connection) = (parts.headers, open_response.connection);
        return Ok(TargetResponse { call, choice, head, headers, body, work, connection });
    }
    let elapsed = context.elapsed();
    record::response_discarded(context, call.target(), verdict, elapsed);
    if let Some(helper) = failed_helper(verdict, &choice, head.refused_by) {
        record::helper_failed(&context.head.request_id, call.target(), &helper.target);
        let now = context.gateway.clock.now();
        context.gateway.state().pool.record_helper_unreachable(&helper.target, now);
        return Err(FailedAttempt::new(call.record_helper_failed(), Failure::Rejected));
    }
    let (result, failure) = match verdict {
        Verdict::Full => (AttemptResult::Full, Failure::Rejected),
        Verdict::WrongTarget => (AttemptResult::Gone, Failure::Rejected),
        // A refusal for another reason gets the short back-off of an overloaded target.
        Verdict::NotRun => (AttemptResult::Full, Failure::Rejected),
        // `Answer` has returned above; it is listed only to match every variant.
        Verdict::Invalid | Verdict::Answer => (AttemptResult::Failed, Failure::BadAnswer),
    };
    work.set_result(result);
    match verdict {
        Verdict::Invalid | Verdict::Answer => Err(FailedAttempt::new(call.record_lost(), failure)),
        _ => Err(FailedAttempt::new(call.record_rejected(), failure)),
    }
}

/// Returns the helper of `choice` because of which its target did not run the request, if there is
/// one.
fn failed_helper(
    verdict: Verdict,
    choice: &Choice,
    refused_by: Option<SocketAddr>,
) -> Option<&Helper> {
    let is_refusal = matches!(verdict, Verdict::Full | Verdict::WrongTarget);
    let address = refused_by.filter(|_| is_refusal)?;
    choice.helpers.iter().find(|helper| helper.address == address)
}

/// Returns whether the call should be retried at another target after its target has sent nothing
/// for `silence`.
///
/// A target that answers other requests is busy rather than down, so the call stays there until the
/// target is considered to have lost it.
pub(super) fn should_fail_over(
    context: &RequestContext,
    call: &Call<Sent>,
    silence: Duration,
) -> bool {
    let now = context.gateway.clock.now();
    let silence_timeout = context.silence_timeout();
    let silent = context.gateway.state().pool.is_silent(call.target(), silence_timeout, now);
    if !silent && silence < silence_timeout * LOST_REQUEST_FACTOR {
        return false;
    }
    let Ok((_, service)) = context.select_service() else { return false };
    call.may_retry(now)
        && context.gateway.may_retry(&service)
        && choose_target(context, &service, call.tried()).is_ok()
}

/// Returns the data of a body frame, empty for trailers.
pub(super) fn frame_data(frame: hyper::body::Frame<Bytes>) -> Bytes {
    frame.into_data().unwrap_or_default()
}
