//! Prompts that need the memory of several engines.
//!
//! Each engine runs the prefill of one segment under a lease on its KV cache. The last engine
//! generates the answer.

use super::{
    attempt::{self, Attempt, InflightGuard, client_error_refusal, post, work_headers},
    prompt::PromptCall,
};
use crate::entry::Entry;
use fulmarhead_lib::{
    admission::short_prompt_reserve,
    config::Target,
    control::LeaseRequest,
    cost::{BYTES_PER_TOKEN, Cost},
    ids::{RequestId, TargetId},
    lease::{EngineMemory, Grant, Held, PlanError, Reservation, Share, Step, plan},
    outcome::{Reason, Refusal},
    request::{Admitted, Deadline, Request},
};
use fulmarhead_runtime::{
    http::read_body,
    platform::engine::{PrefillRequest, PrefillResponse},
};
use log::info;
use std::{sync::Arc, time::Duration};
use tokio::time::{MissedTickBehavior, interval};

/// Time between two renewals of a lease, less than a third of the lease period.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Delay before a retry if too few of the configured engines report to hold the prompt; the others
/// may report again by then.
const MISSING_ENGINES_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum size of the response to the prefill of a segment, in bytes.
const MAX_PREFILL_RESPONSE_BYTES: usize = 4_096;

/// Tokens that each engine reserves in addition to its segment. A segment is cut at a character
/// boundary, so it may be a few bytes longer or shorter than planned.
const SHARE_MARGIN_TOKENS: u64 = 8;

/// Minimum size of a segment; a smaller one does not justify another engine.
const MIN_SEGMENT_TOKENS: u64 = 1_024;

/// Leases of a complete reservation, released on drop.
pub(super) struct HeldLeases {
    entry: Arc<Entry>,
    reservation: Option<Reservation<Held>>,
}

impl HeldLeases {
    fn grants(&self) -> &[(TargetId, Grant)] {
        self.reservation.as_ref().map_or(&[], |held| held.leases())
    }

    /// Runs `work` to completion and renews the leases in the meantime.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the agent if it does not renew a lease.
    pub(super) async fn renew_while<T>(&self, work: impl Future<Output = T>) -> Result<T, Refusal> {
        tokio::pin!(work);
        let mut ticks = interval(RENEW_INTERVAL);
        ticks.reset();
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                output = work.as_mut() => return Ok(output),
                _ = ticks.tick() => self.renew().await?,
            }
        }
    }

    async fn renew(&self) -> Result<(), Refusal> {
        for (target, grant) in self.grants() {
            let peer = self.entry.state().targets.peer(target);
            let Some(peer) = peer else { continue };
            // A failed call is retried at the next tick. The lease period covers two failures.
            if let Ok(reply) = peer.renew(grant.lease).await {
                reply?;
            }
        }
        Ok(())
    }
}

impl Drop for HeldLeases {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.entry.release_leases(reservation.release());
        }
    }
}

/// Reserves memory at several engines, runs the prefill of the segments in order, and starts the
/// generation at the last engine.
pub(super) async fn send_to_engines(
    entry: &Arc<Entry>,
    request: &Request<Admitted>,
    call: &PromptCall,
) -> Result<(Attempt, HeldLeases), Refusal> {
    let shares = plan_shares(entry, request, call)?;
    let leases = reserve(entry, request.id, request.deadline, shares).await?;
    let prefill = leases.renew_while(prefill_segments(entry, request, call, leases.grants()));
    let prefill_state = prefill.await??;
    let (target, grant) = leases.grants().last().ok_or(Refusal::not_run(Reason::NoMemory))?;
    let lease = Some((grant.lease, prefill_state));
    let attempt = attempt::send_prompt(entry, request, call, target, lease);
    let attempt = leases.renew_while(attempt).await??;
    Ok((attempt, leases))
}

/// Plans which engines hold the prompt, and how many tokens each of them reserves.
///
/// # Errors
///
/// Returns a refusal if the engines that report can't hold the prompt. A retry may succeed if other
/// configured engines don't report.
fn plan_shares(
    entry: &Entry,
    request: &Request<Admitted>,
    call: &PromptCall,
) -> Result<Vec<Share>, Refusal> {
    let now = entry.clock.now();
    let model = &call.prompt.model;
    let state = entry.state();
    let candidates = state.targets.engines(model, now);
    drop(state);
    let engines: Vec<EngineMemory> = candidates
        .into_iter()
        .map(|candidate| EngineMemory {
            total: candidate.load.kv_total,
            free: candidate
                .free_tokens()
                .saturating_sub(short_prompt_reserve(candidate.load.kv_total)),
            target: candidate.target,
        })
        .collect();
    let all_available = engines.len() >= configured_engines(call);
    let margin = SHARE_MARGIN_TOKENS * engines.len() as u64;
    // The last engine holds the end of the prompt and the answer.
    let min_share = request.cost.output + MIN_SEGMENT_TOKENS;
    plan(&engines, request.cost.kv_tokens() + margin, min_share).map_err(|error| match error {
        PlanError::TooLarge { .. } if all_available => Refusal::not_run(Reason::PromptTooLong),
        // The engines that don't report now may do so again before the deadline.
        PlanError::TooLarge { .. } => {
            Refusal::not_run(Reason::NoMemory).with_retry_after(MISSING_ENGINES_RETRY_DELAY)
        }
    })
}

/// Returns the number of configured engines that serve the model of a prompt.
fn configured_engines(call: &PromptCall) -> usize {
    let serves = |target: &&Target| target.models.contains(&call.prompt.model);
    call.fleet.targets.iter().filter(serves).count()
}

/// Acquires all leases one after another, in ascending order of target, so that requests can't
/// deadlock.
///
/// # Errors
///
/// Returns a refusal at the first lease that is not granted. That lease and the ones before it are
/// then released.
async fn reserve(
    entry: &Arc<Entry>,
    request: RequestId,
    deadline: Deadline,
    shares: Vec<Share>,
) -> Result<HeldLeases, Refusal> {
    let mut reservation = Reservation::new(request, shares);
    loop {
        let (acquiring, share, lease) = match reservation.step() {
            Step::Done(held) => {
                info!(
                    target: "decision", request:%, engines = held.leases().len();
                    "memory reserved"
                );
                return Ok(HeldLeases { entry: Arc::clone(entry), reservation: Some(held) });
            }
            Step::Request { reservation, share, lease } => (reservation, share, lease),
        };
        let remaining = deadline.remaining(entry.clock.now());
        let lease_request = LeaseRequest { request, tokens: share.tokens, remaining };
        let peer = entry.state().targets.peer(&share.target);
        let reply = match peer {
            Some(peer) => peer.reserve(lease, lease_request).await.ok(),
            None => None,
        };
        match reply.unwrap_or(Err(Refusal::not_run(Reason::NoTarget))) {
            Ok(grant) => reservation = acquiring.record_grant(grant),
            Err(refusal) => {
                entry.release_leases(acquiring.abandon());
                return Err(refusal);
            }
        }
    }
}

/// Runs the prefill of all segments in order and returns the state that the last engine returned.
async fn prefill_segments(
    entry: &Arc<Entry>,
    request: &Request<Admitted>,
    call: &PromptCall,
    leases: &[(TargetId, Grant)],
) -> Result<String, Refusal> {
    let mut rest = call.prompt.text.as_str();
    let mut previous = None;
    for (target, grant) in leases {
        let (segment, remainder) = split_at_tokens(rest, grant.tokens - SHARE_MARGIN_TOKENS);
        rest = remainder;
        let cost = Cost::estimate(segment.len(), 0);
        let message = PrefillRequest {
            prompt: segment.to_owned(),
            previous,
            request_id: request.id,
            priority: call.priority,
        };
        let _inflight = InflightGuard::new(entry, target, cost);
        let mut headers = work_headers(entry, request, call, Some(grant.lease));
        headers.cost = cost;
        let path = format!("/work/kv/{}/prefill", grant.lease);
        let body =
            serde_json::to_vec(&message).map_err(|_| Refusal::not_run(Reason::MalformedRequest))?;
        let response = post(entry, call, target, &path, headers, body.into()).await?;
        let body = read_body(response.into_body(), MAX_PREFILL_RESPONSE_BYTES)
            .await
            .map_err(|error| client_error_refusal(&error))?;
        let prefilled: PrefillResponse =
            serde_json::from_slice(&body).map_err(|_| Refusal::failed(Reason::TargetFailed))?;
        previous = Some(prefilled.state);
    }
    previous.ok_or(Refusal::not_run(Reason::NoMemory))
}

/// Splits `text` at the last character boundary within its first `tokens` tokens.
fn split_at_tokens(text: &str, tokens: u64) -> (&str, &str) {
    let bytes = usize::try_from(tokens * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    text.split_at(text.floor_char_boundary(bytes.min(text.len())))
}
