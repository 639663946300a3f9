//! One attempt to run a completion at one engine.

use super::{events::ItemStream, prompt::PromptCall};
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

/// Maximum size of the body of a refusal.
const MAX_REFUSAL_BYTES: usize = 4_096;

/// An attempt that a target accepted.
pub(super) struct Attempt {
    pub(super) items: ItemStream,
    pub(super) inflight: InflightGuard,
    /// Whether the target has sent an item.
    pub(super) has_items: bool,
}

impl Attempt {
    /// Returns the next item of the stream, or `None` if the stream is interrupted or the target
    /// is lost.
    pub(super) async fn next(&mut self) -> Option<StreamItem> {
        let item = tokio::select! {
            item = self.items.next() => item.ok(),
            () = self.inflight.entry.wait_target_lost(&self.inflight.target) => None,
        };
        self.inflight.awaiting_item = false;
        self.has_items |= item.is_some();
        item
    }
}

/// Counts an attempt as in flight at its target until dropped.
pub(super) struct InflightGuard {
    entry: Arc<Entry>,
    target: TargetId,
    cost: Cost,
    /// Whether the agent has yet to accept or refuse the attempt.
    awaiting_reply: bool,
    /// Whether the attempt still waits for the first item of its stream, or for its failure.
    awaiting_item: bool,
}

impl InflightGuard {
    /// Starts to count an attempt that is about to be sent.
    pub(super) fn new(entry: &Arc<Entry>, target: &str, cost: Cost) -> Self {
        let mut state = entry.state();
        state.targets.directory.begin_attempt(target, cost);
        state.prefixes.record_send(target, cost);
        drop(state);
        let (entry, target) = (Arc::clone(entry), target.to_owned());
        Self { entry, target, cost, awaiting_reply: true, awaiting_item: true }
    }

    /// Returns the target that the attempt is sent to.
    pub(super) fn target(&self) -> &str {
        &self.target
    }

    /// Records that the agent accepted or refused the attempt, at the first call only.
    fn acknowledge(&mut self) {
        if self.awaiting_reply {
            self.awaiting_reply = false;
            self.entry.state().targets.directory.acknowledge_attempt(&self.target, self.cost);
        }
    }
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        self.acknowledge();
        self.entry.state().targets.directory.end_attempt(
            &self.target,
            self.cost,
            self.awaiting_item,
        );
    }
}

/// Sends a prompt to `target` and waits until the target accepts or refuses it.
///
/// `lease` is set for a prompt whose prefill is complete. It holds the lease at the last engine and
/// the state that this engine returned after the prefill. The prompt is then not sent, because the
/// engines already hold it.
///
/// # Errors
///
/// Returns a refusal under the same conditions as [`post`].
pub(super) async fn send_prompt(
    entry: &Arc<Entry>,
    request: &Request<Admitted>,
    call: &PromptCall,
    target: &str,
    lease: Option<(LeaseId, String)>,
) -> Result<Attempt, Refusal> {
    // Under a lease, the prefill is complete and the memory is already counted.
    let cost = match lease {
        Some(_) => Cost { prompt: 0, output: 0 },
        None => request.cost,
    };
    let mut inflight = InflightGuard::new(entry, target, cost);
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
    let response = post(entry, call, target, "/work/completions", headers, body.into()).await?;
    inflight.acknowledge();
    Ok(Attempt { items: ItemStream::new(response.into_body()), inflight, has_items: false })
}

/// Returns the headers for the current attempt of a request.
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

/// Requests the rest of a stream that `target` may still hold.
///
/// # Errors
///
/// Returns a refusal if the target no longer holds the stream, and under the same conditions as
/// [`post`].
pub(super) async fn resume(
    entry: &Arc<Entry>,
    request: &Request<Admitted>,
    call: &PromptCall,
    target: &str,
) -> Result<Attempt, Refusal> {
    let inflight = InflightGuard::new(entry, target, Cost::default());
    let mut headers = work_headers(entry, request, call, None);
    headers.resume_from = Some(request.attempt().position);
    // The engine already holds the memory of the stream.
    headers.cost = Cost::default();
    let response = post(entry, call, target, "/work/completions", headers, Bytes::new()).await?;
    Ok(Attempt { items: ItemStream::new(response.into_body()), inflight, has_items: false })
}

/// Posts work to the agent of `target` and returns its response.
///
/// # Errors
///
/// Returns the refusal of the agent, or one with [`Reason::TargetFailed`] if the request could not
/// be sent, the target was lost, or the agent sent an error that is not a refusal. Nothing is sent
/// if the target is not configured or a header is malformed.
pub(super) async fn post(
    entry: &Entry,
    call: &PromptCall,
    target: &str,
    path: &str,
    work: WorkHeaders,
    body: Bytes,
) -> Result<Response<Incoming>, Refusal> {
    let config = call.fleet.target(target).ok_or(Refusal::not_run(Reason::NoTarget))?;
    let mut headers = work.to_headers().map_err(|_| malformed())?;
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let endpoint = Endpoint::new(config.work, path);
    let response = tokio::select! {
        response = entry.client.send(Method::POST, &endpoint, headers, body) => response,
        () = entry.wait_target_lost(target) => return Err(Refusal::failed(Reason::TargetFailed)),
    };
    if let Ok(response) = &response {
        let accepted = response.status().is_success().then_some(work.cost);
        entry.record_load(target, response.headers(), accepted);
    }
    match response {
        Ok(response) if response.status().is_success() => Ok(response),
        Ok(response) => {
            let refusal = read_refusal(response).await;
            Err(refusal.unwrap_or(Refusal::failed(Reason::TargetFailed)))
        }
        Err(error) => Err(client_error_refusal(&error)),
    }
}

/// Reads the refusal from an unsuccessful response.
///
/// Returns `None` if the response is not a refusal or its body can't be read.
pub(super) async fn read_refusal(response: Response<Incoming>) -> Option<Refusal> {
    if !response.headers().contains_key(REFUSAL) {
        return None;
    }
    let body = read_body(response.into_body(), MAX_REFUSAL_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Returns the refusal for work whose response was not received.
///
/// Its outcome is `NotRun` only if the request was certainly not sent.
pub(super) fn client_error_refusal(error: &ClientError) -> Refusal {
    match error.is_unsent() {
        true => Refusal::not_run(Reason::TargetFailed),
        false => Refusal::failed(Reason::TargetFailed),
    }
}

fn malformed() -> Refusal {
    Refusal::not_run(Reason::MalformedRequest)
}
