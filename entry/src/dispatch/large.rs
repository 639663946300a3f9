//! Prompts that only several engines together can hold.

use super::{
    answer::PromptCall,
    attempt::{self, Attempt, Tally, lost, post, work_headers},
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

/// Time between two renewals of a lease, a third of its period.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Time after which engines that are missing now may be back.
const MISSING_RETRY: Duration = Duration::from_secs(1);

/// Largest answer to a segment, in bytes.
const MAX_ANSWER: usize = 4_096;

/// Tokens added to each share, since a cut at a character may move a few bytes.
const SHARE_MARGIN: u64 = 8;

/// Fewest tokens of a prompt that are worth an engine of their own.
const SMALLEST_SEGMENT: u64 = 1_024;

/// Held leases, released when they are dropped.
pub(super) struct Leases {
    entry: Arc<Entry>,
    reservation: Option<Reservation<Held>>,
}

impl Leases {
    fn list(&self) -> &[(TargetId, Grant)] {
        self.reservation.as_ref().map_or(&[], |held| held.leases())
    }

    /// Waits for `work` and renews the leases meanwhile; fails if one of them is lost.
    pub(super) async fn renew_while<T>(&self, work: impl Future<Output = T>) -> Result<T, Refusal> {
        tokio::pin!(work);
        let mut ticks = interval(RENEW_INTERVAL);
        ticks.reset();
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                done = work.as_mut() => return Ok(done),
                _ = ticks.tick() => self.renew().await?,
            }
        }
    }

    async fn renew(&self) -> Result<(), Refusal> {
        for (target, grant) in self.list() {
            let peer = self.entry.core().known.peer(target);
            let Some(peer) = peer else { continue };
            // A call that fails is repeated at the next tick; the lease outlives two of them.
            if let Ok(reply) = peer.renew(grant.lease).await {
                reply?;
            }
        }
        Ok(())
    }
}

impl Drop for Leases {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.entry.release(reservation.release());
        }
    }
}

/// Reserves engines, runs the prefill of the segments in order, and starts the generation.
pub(super) async fn send(
    entry: &Arc<Entry>,
    request: &Request<Admitted>,
    call: &PromptCall,
) -> Result<(Attempt, Leases), Refusal> {
    let shares = shares(entry, request, call)?;
    let leases = reserve(entry, request.id, request.deadline, shares).await?;
    let prefill = leases.renew_while(prefill(entry, request, call, leases.list()));
    let state = prefill.await??;
    let (target, grant) = leases.list().last().ok_or(Refusal::not_run(Reason::NoMemory))?;
    let lease = Some((grant.lease, state));
    let attempt = attempt::send(entry, request, call, target, lease);
    let attempt = leases.renew_while(attempt).await??;
    Ok((attempt, leases))
}

fn shares(
    entry: &Entry,
    request: &Request<Admitted>,
    call: &PromptCall,
) -> Result<Vec<Share>, Refusal> {
    let now = entry.clock.now();
    let model = &call.prompt.model;
    let core = entry.core();
    let candidates = core.known.engines(model, now);
    drop(core);
    let rooms: Vec<EngineMemory> = candidates
        .into_iter()
        .map(|candidate| EngineMemory {
            total: candidate.load.kv_total,
            free: candidate
                .free_tokens()
                .saturating_sub(short_prompt_reserve(candidate.load.kv_total)),
            target: candidate.target,
        })
        .collect();
    let is_complete = rooms.len() >= configured(call);
    let margin = SHARE_MARGIN * rooms.len() as u64;
    // The last engine holds the answer and the end of the prompt.
    let smallest = request.cost.output + SMALLEST_SEGMENT;
    plan(&rooms, request.cost.kv_tokens() + margin, smallest).map_err(|error| match error {
        PlanError::TooLarge { .. } if is_complete => Refusal::not_run(Reason::PromptTooLong),
        // The engines that are missing now may come back within the time limit.
        PlanError::TooLarge { .. } => {
            Refusal::not_run(Reason::NoMemory).with_retry_after(MISSING_RETRY)
        }
    })
}

/// Returns how many engines the configuration has for the model of a prompt.
fn configured(call: &PromptCall) -> usize {
    let serves = |target: &&Target| target.models.contains(&call.prompt.model);
    call.fleet.targets.iter().filter(serves).count()
}

/// Takes the leases one after another in ascending order of target, all or nothing.
async fn reserve(
    entry: &Arc<Entry>,
    request: RequestId,
    deadline: Deadline,
    shares: Vec<Share>,
) -> Result<Leases, Refusal> {
    let mut reservation = Reservation::new(request, shares);
    loop {
        let (asking, share, lease) = match reservation.step() {
            Step::Done(held) => {
                info!(target: "decision", request:%, engines = held.leases().len(); "memory reserved");
                return Ok(Leases { entry: Arc::clone(entry), reservation: Some(held) });
            }
            Step::Request { reservation, share, lease } => (reservation, share, lease),
        };
        let remaining = deadline.remaining(entry.clock.now());
        let asked = LeaseRequest { request, tokens: share.tokens, remaining };
        let peer = entry.core().known.peer(&share.target);
        let reply = match peer {
            Some(peer) => peer.reserve(lease, asked).await.ok(),
            None => None,
        };
        match reply.unwrap_or(Err(Refusal::not_run(Reason::NoTarget))) {
            Ok(grant) => reservation = asking.record_grant(grant),
            Err(refusal) => {
                entry.release(asking.abandon());
                return Err(refusal);
            }
        }
    }
}

/// Runs the prefill of all segments; returns the state after the last one.
async fn prefill(
    entry: &Arc<Entry>,
    request: &Request<Admitted>,
    call: &PromptCall,
    leases: &[(TargetId, Grant)],
) -> Result<String, Refusal> {
    let mut rest = call.prompt.text.as_str();
    let mut previous = None;
    for (target, grant) in leases {
        let (segment, left) = cut(rest, grant.tokens - SHARE_MARGIN);
        rest = left;
        let cost = Cost::estimate(segment.len(), 0);
        let message = PrefillRequest {
            prompt: segment.to_owned(),
            previous,
            request_id: request.id,
            priority: call.priority,
        };
        let _tally = Tally::new(entry, target, cost);
        let mut headers = work_headers(entry, request, call, Some(grant.lease));
        headers.cost = cost;
        let path = format!("/work/kv/{}/prefill", grant.lease);
        let body =
            serde_json::to_vec(&message).map_err(|_| Refusal::not_run(Reason::MalformedRequest))?;
        let answer = post(entry, call, target, &path, headers, body.into()).await?;
        let body = read_body(answer.into_body(), MAX_ANSWER).await.map_err(|e| lost(&e))?;
        let state: PrefillResponse =
            serde_json::from_slice(&body).map_err(|_| Refusal::failed(Reason::TargetFailed))?;
        previous = Some(state.state);
    }
    previous.ok_or(Refusal::not_run(Reason::NoMemory))
}

/// Cuts `text` after at most `tokens` tokens, at the end of a character.
fn cut(text: &str, tokens: u64) -> (&str, &str) {
    let bytes = usize::try_from(tokens * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    text.split_at(text.floor_char_boundary(bytes.min(text.len())))
}
