//! One attempt: the choice of a target, the request to it and the head of its answer.

use super::{
    handle::Context,
    record,
    send::{Link, Pending, Reply, SendError},
};
use crate::{
    gateway::Gateway,
    leases::{HeldLeases, hold},
};
use bytes::Bytes;
use fulmarhead_lib::{
    forward::{Call, Failure, ResponseHead, Sent, Unsent, Verdict},
    ids::TargetId,
    placement::{AttemptResult, Backoff, Choice, PlacementError, RequestProfile, Work, WorkId},
    routes::{RouteMatch, Service},
};
use fulmarhead_platform::{
    PrefillHelper, TargetRequest, decode_response_head, target_request_headers,
};
use http_body_util::Full;
use hyper::{Request, body::Incoming, http::uri::PathAndQuery};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio_util::task::AbortOnDropHandle;

/// Time between two looks at whether a silent target is dead.
pub(super) const SILENCE_CHECK: Duration = Duration::from_millis(100);

/// Silence for a request at a target that answers others, in times of the usual patience, after
/// which the target is taken to have forgotten the request.
const FORGOTTEN_FACTOR: u32 = 2;

/// Reading of a prompt that peers hear of at once, in ms: it lengthens a pass so much that streams
/// at the same target become late.
const LONG_READ_MS: f64 = 15.0;

/// The work of a request at a target and its helpers, which ends when it is dropped.
pub(super) struct InFlight {
    gateway: Arc<Gateway>,
    target: TargetId,
    id: Option<WorkId>,
    /// Targets that only read; their work ends with the first byte.
    helpers: Vec<(TargetId, WorkId)>,
    /// Targets that hold parts of the prompt; their work ends with the request.
    holders: Vec<(TargetId, WorkId)>,
    leases: HeldLeases,
    since: Instant,
    begun: bool,
    result: AttemptResult,
}

impl InFlight {
    fn begin(context: &Context, choice: &Choice, leases: HeldLeases) -> Self {
        let gateway = Arc::clone(&context.gateway);
        let now = gateway.clock.now();
        let mut core = gateway.core();
        let held = choice.helpers.iter().map(|helper| helper.held_tokens).sum();
        let work = Work::new(&context.need, choice.prefill_ms, now).excluding_tokens(held);
        let id = core.pool.begin_request(&choice.target, work, now);
        let (mut helpers, mut holders) = (Vec::new(), Vec::new());
        for helper in &choice.helpers {
            let (list, part) = match helper.held_tokens {
                0 => (&mut helpers, Work::for_helper(&context.need, choice.prefill_ms, now)),
                holds => {
                    (&mut holders, Work::for_holder(&context.need, holds, choice.prefill_ms, now))
                }
            };
            let id = core.pool.begin_helper(&helper.target, part);
            list.extend(id.map(|id| (helper.target.clone(), id)));
        }
        drop(core);
        if choice.prefill_ms * (1 + choice.helpers.len()) as f64 >= LONG_READ_MS {
            gateway.tell_peers();
        }
        let (target, result) = (choice.target.clone(), AttemptResult::Abandoned);
        Self { gateway, target, id, helpers, holders, leases, since: now, begun: false, result }
    }

    /// Records that bytes came from the target; with the first ones, the prompt was read.
    pub(super) fn hear(&mut self) {
        let now = self.gateway.clock.now();
        let mut core = self.gateway.core();
        core.pool.record_activity(&self.target, now);
        let Some(id) = self.id.filter(|_| !self.begun) else { return };
        self.begun = true;
        core.pool.record_first_event(&self.target, id);
        for (target, id) in self.helpers.drain(..) {
            core.pool.end_helper(&target, id);
        }
        for (target, id) in &self.holders {
            core.pool.record_first_event(target, *id);
        }
    }

    /// Sets how the attempt ended.
    pub(super) fn set_result(&mut self, result: AttemptResult) {
        self.result = result;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let mut core = self.gateway.core();
        core.pool.end_request(&self.target, self.id, self.result, now);
        for (target, id) in self.helpers.drain(..).chain(self.holders.drain(..)) {
            core.pool.end_helper(&target, id);
        }
        drop(core);
    }
}

/// An attempt that has the head of the target's answer.
pub(super) struct Answering {
    pub(super) call: Call<Sent>,
    pub(super) head: ResponseHead,
    pub(super) headers: hyper::HeaderMap,
    pub(super) body: Incoming,
    pub(super) work: InFlight,
    /// Keeps the connection open until the body was read.
    pub(super) connection: AbortOnDropHandle<()>,
}

/// An attempt without an answer for the caller.
pub(super) struct Failed {
    pub(super) call: Call<Unsent>,
    pub(super) failure: Failure,
}

impl Failed {
    fn new(call: Call<Unsent>, failure: Failure) -> Self {
        Self { call, failure }
    }
}

/// Sends a call to one target; `last_event` is the last event that the caller has.
pub(super) async fn attempt(
    context: &Context,
    call: Call<Unsent>,
    last_event: Option<u64>,
) -> Result<Answering, Failed> {
    let gateway = &context.gateway;
    let (selected, service) = match context.service() {
        Ok(found) => found,
        Err(failure) => return Err(Failed::new(call, failure)),
    };
    if call.is_retry() && !gateway.withdraw_retry(&service) {
        return Err(Failed::new(call, Failure::Overloaded));
    }
    let choice = match choose(context, &service, call.tried()) {
        Ok(choice) => choice,
        Err(PlacementError::NoTarget) => return Err(Failed::new(call, Failure::NoTarget)),
        Err(PlacementError::Full) => return Err(Failed::new(call, Failure::Overloaded)),
    };
    let Ok(leases) = hold(gateway, &context.head.request_id, &choice.helpers).await else {
        return Err(Failed::new(call, Failure::Overloaded));
    };
    let now = gateway.clock.now();
    let mut work = InFlight::begin(context, &choice, leases);
    let call = call.send(choice.target.clone());
    let number = context.next_attempt();
    let left = call.deadline().remaining(now);
    record::chosen(&context.head.request_id, &context.need, &choice, number, left);
    let sent = send(context, &selected, &choice, &call, last_event, &work.leases).await;
    let reply = match sent {
        Ok(reply) => reply,
        Err(error) => return Err(unanswered(context, call, &mut work, &error)),
    };
    judge(context, call, work, reply)
}

fn choose(
    context: &Context,
    service: &Service,
    tried: &[TargetId],
) -> Result<Choice, PlacementError> {
    let gateway = &context.gateway;
    let (now, entries) = (gateway.clock.now(), gateway.entries());
    let need =
        RequestProfile { overdue: context.need.overdue || !tried.is_empty(), ..context.need };
    let mut core = gateway.core();
    match core.pool.choose(service, &need, tried, Backoff::Respect, entries, now) {
        Err(PlacementError::Full) => {
            core.pool.choose(service, &need, tried, Backoff::Ignore, entries, now)
        }
        result => result,
    }
}

async fn send(
    context: &Context,
    selected: &RouteMatch,
    choice: &Choice,
    call: &Call<Sent>,
    last_event: Option<u64>,
    leases: &HeldLeases,
) -> Result<Reply, SendError> {
    let link = Link::open(choice.address).await?;
    let left = call.deadline().remaining(context.gateway.clock.now());
    let readers = choice
        .helpers
        .iter()
        .map(|helper| PrefillHelper { address: helper.address, lease: leases.at(&helper.target) });
    let helpers: Vec<PrefillHelper> = readers.collect();
    let outgoing = TargetRequest {
        target: &choice.target,
        team: selected.team.as_deref(),
        remaining: left,
        last_event,
        helpers: &helpers,
    };
    let path = context.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.method.clone();
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() =
        target_request_headers(&context.headers, &outgoing).map_err(std::io::Error::other)?;
    let pending = link.send(request).await?;
    answer_head(context, call, pending).await
}

/// Waits for the head of the answer. Silence ends the attempt early only if the call can go on at
/// another target.
async fn answer_head(
    context: &Context,
    call: &Call<Sent>,
    mut pending: Pending,
) -> Result<Reply, SendError> {
    let clock = &context.gateway.clock;
    let since = clock.now();
    let mut wait = context.patience();
    loop {
        let left = call.deadline().remaining(clock.now());
        if let Some(response) = pending.head(left.min(wait)).await {
            context.gateway.core().pool.record_activity(call.target(), clock.now());
            return Ok(pending.reply(response?));
        }
        let waited = clock.now().saturating_duration_since(since);
        if left <= wait {
            return Err(SendError::Timeout);
        }
        if should_move(context, call, waited) {
            return Err(SendError::Silent(waited));
        }
        wait = SILENCE_CHECK;
    }
}

fn unanswered(
    context: &Context,
    call: Call<Sent>,
    work: &mut InFlight,
    error: &SendError,
) -> Failed {
    let now = context.gateway.clock.now();
    let failure = match error {
        SendError::Timeout => Failure::Timeout,
        SendError::Silent(_) => Failure::Silent,
        _ => Failure::ConnectionLost,
    };
    let waited = now.saturating_duration_since(work.since);
    if !call.deadline().has_passed(now) || waited >= context.patience() {
        work.set_result(AttemptResult::Failed);
    }
    let after = now.saturating_duration_since(context.received);
    record::attempt_failed(&context.head.request_id, call.target(), &error.to_string(), after);
    match error.is_unsent() {
        true => Failed::new(call.record_not_sent(), failure),
        false => Failed::new(call.record_lost(), failure),
    }
}

fn judge(
    context: &Context,
    call: Call<Sent>,
    mut work: InFlight,
    reply: Reply,
) -> Result<Answering, Failed> {
    let (parts, body) = reply.response.into_parts();
    let head = decode_response_head(parts.status, &parts.headers, &context.head.request_id);
    let verdict = head.verdict();
    if verdict == Verdict::Answer {
        let (headers, connection) = (parts.headers, reply.connection);
        return Ok(Answering { call, head, headers, body, work, connection });
    }
    let after = context.elapsed();
    record::verdict(&context.head.request_id, call.target(), verdict, after);
    let (result, failure) = match verdict {
        Verdict::Full => (AttemptResult::Full, Failure::Rejected),
        Verdict::WrongTarget => (AttemptResult::Gone, Failure::Rejected),
        Verdict::NotRun => (AttemptResult::Full, Failure::Rejected),
        Verdict::Invalid | Verdict::Answer => (AttemptResult::Failed, Failure::BadAnswer),
    };
    work.set_result(result);
    match verdict {
        Verdict::Invalid | Verdict::Answer => Err(Failed::new(call.record_lost(), failure)),
        _ => Err(Failed::new(call.record_rejected(), failure)),
    }
}

/// Returns whether the call should go on at another target, after `silence` without a byte for it.
///
/// A target that answers others is busy and not dead, unless it has forgotten this request.
pub(super) fn should_move(context: &Context, call: &Call<Sent>, silence: Duration) -> bool {
    let now = context.gateway.clock.now();
    let patience = context.patience();
    let dead = context.gateway.core().pool.is_silent(call.target(), patience, now);
    if !dead && silence < patience * FORGOTTEN_FACTOR {
        return false;
    }
    let Ok((_, service)) = context.service() else { return false };
    call.may_retry(now)
        && context.gateway.may_retry(&service)
        && choose(context, &service, call.tried()).is_ok()
}

/// Returns the bytes of a piece of a body, empty for trailers.
pub(super) fn data(frame: hyper::body::Frame<Bytes>) -> Bytes {
    frame.into_data().unwrap_or_default()
}
