//! One attempt of a completion at one engine.

use super::{answer::PromptCall, events::Events};
use crate::entry::Entry;
use axum::http::{HeaderValue, Method, header::CONTENT_TYPE};
use bytes::Bytes;
use fulmarhead_lib::{
    cost::Cost,
    ids::{LeaseId, TargetId},
    outcome::{Reason, Refusal},
    request::{Admitted, Request, StreamItem},
};
use fulmarhead_runtime::{
    http::{ClientError, Endpoint, read_body},
    platform::engine::CompletionRequest,
    work::{REFUSAL, WorkHeaders},
};
use hyper::{Response, body::Incoming};
use std::sync::Arc;

/// Largest body of a refusal, in bytes.
const MAX_REFUSAL: usize = 4_096;

/// An attempt that a target has taken.
pub(super) struct Attempt {
    pub(super) events: Events,
    pub(super) tally: Tally,
}

impl Attempt {
    /// Returns the next item of the stream.
    pub(super) async fn next(&mut self) -> Option<StreamItem> {
        let item = tokio::select! {
            item = self.events.next() => item.ok(),
            () = self.tally.entry.target_lost(&self.tally.target) => None,
        };
        self.tally.waiting = false;
        item
    }
}

/// Counts an attempt among those of its target until it is dropped.
pub(super) struct Tally {
    entry: Arc<Entry>,
    target: TargetId,
    cost: Cost,
    /// Whether the agent has neither taken nor refused the attempt yet.
    open: bool,
    /// Whether the first token did not come yet.
    waiting: bool,
}

impl Tally {
    /// Counts an attempt that is about to be sent.
    pub(super) fn new(entry: &Arc<Entry>, target: &str, cost: Cost) -> Self {
        entry.core().known.directory.begin_attempt(target, cost);
        let (entry, target) = (Arc::clone(entry), target.to_owned());
        Self { entry, target, cost, open: true, waiting: true }
    }

    /// Returns the target of the attempt.
    pub(super) fn target(&self) -> &str {
        &self.target
    }

    /// Records that the agent has taken or refused the attempt.
    fn answered(&mut self) {
        if self.open {
            self.open = false;
            self.entry.core().known.directory.acknowledge_attempt(&self.target, self.cost);
        }
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        self.answered();
        self.entry.core().known.directory.end_attempt(&self.target, self.cost, self.waiting);
    }
}

/// Sends the prompt to `target`; returns once the target has taken or refused it.
pub(super) async fn send(
    entry: &Arc<Entry>,
    request: &Request<Admitted>,
    call: &PromptCall,
    target: &str,
    lease: Option<(LeaseId, String)>,
) -> Result<Attempt, Refusal> {
    // The prefill of a prompt under a lease is done, and the lease counts its memory.
    let cost = match lease {
        Some(_) => Cost { prompt: 0, output: 0 },
        None => request.cost,
    };
    let mut tally = Tally::new(entry, target, cost);
    let (lease, previous) = lease.unzip();
    let completion = CompletionRequest {
        model: call.prompt.model.clone(),
        prompt: match lease {
            Some(_) => String::new(),
            None => call.prompt.text.clone(),
        },
        max_tokens: call.prompt.max_tokens,
        priority: call.priority,
        request_id: request.id,
        position: request.attempt().position,
        lease,
        previous,
        sampling: call.prompt.sampling.clone(),
    };
    let body = serde_json::to_vec(&completion).map_err(|_| malformed())?;
    let mut headers = work_headers(entry, request, call, lease);
    headers.cost = cost;
    let answer = post(entry, call, target, "/work/completions", headers, body.into()).await?;
    tally.answered();
    Ok(Attempt { events: Events::new(answer.into_body()), tally })
}

/// Returns the headers of the current attempt.
pub(super) fn work_headers(
    entry: &Entry,
    request: &Request<Admitted>,
    call: &PromptCall,
    lease: Option<LeaseId>,
) -> WorkHeaders {
    WorkHeaders {
        request: request.id,
        attempt: request.attempt().number,
        team: request.team.clone(),
        remaining: request.deadline.remaining(entry.clock.now()),
        priority: call.priority,
        revision: call.fleet.revision,
        cost: request.cost,
        lease,
        keep_stream: call.streamed,
        resume_from: None,
    }
}

/// Asks `target` for the rest of a stream that it may still hold.
pub(super) async fn resume(
    entry: &Arc<Entry>,
    request: &Request<Admitted>,
    call: &PromptCall,
    target: &str,
) -> Result<Attempt, Refusal> {
    let tally = Tally::new(entry, target, Cost::default());
    let mut headers = work_headers(entry, request, call, None);
    headers.resume_from = Some(request.attempt().position);
    // The engine holds the memory of the stream already.
    headers.cost = Cost::default();
    let answer = post(entry, call, target, "/work/completions", headers, Bytes::new()).await?;
    Ok(Attempt { events: Events::new(answer.into_body()), tally })
}

/// Posts work to the agent of `target` and returns its answer, unless it is a refusal.
pub(super) async fn post(
    entry: &Entry,
    call: &PromptCall,
    target: &str,
    path: &str,
    work: WorkHeaders,
    body: Bytes,
) -> Result<Response<Incoming>, Refusal> {
    let known = call.fleet.target(target).ok_or(Refusal::not_run(Reason::NoTarget))?;
    let mut headers = work.to_headers().map_err(|_| malformed())?;
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let endpoint = Endpoint::new(known.work, path);
    let answer = tokio::select! {
        answer = entry.client.send(Method::POST, &endpoint, headers, body) => answer,
        () = entry.target_lost(target) => return Err(Refusal::failed(Reason::TargetFailed)),
    };
    if let Ok(answer) = &answer {
        let taken = answer.status().is_success().then_some(work.cost);
        entry.observe(target, answer.headers(), taken);
    }
    match answer {
        Ok(answer) if answer.status().is_success() => Ok(answer),
        Ok(answer) => {
            let refusal = read_refusal(answer).await;
            Err(refusal.unwrap_or(Refusal::failed(Reason::TargetFailed)))
        }
        Err(error) => Err(lost(&error)),
    }
}

/// Reads the refusal in an answer without success; `None` if it broke off or is none.
pub(super) async fn read_refusal(answer: Response<Incoming>) -> Option<Refusal> {
    if !answer.headers().contains_key(REFUSAL) {
        return None;
    }
    let body = read_body(answer.into_body(), MAX_REFUSAL).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Returns what is known of work whose answer was lost.
pub(super) fn lost(error: &ClientError) -> Refusal {
    match error.is_unsent() {
        true => Refusal::not_run(Reason::TargetFailed),
        false => Refusal::failed(Reason::TargetFailed),
    }
}

fn malformed() -> Refusal {
    Refusal::not_run(Reason::MalformedRequest)
}
