//! Load of a request in flight, as the pool of targets counts it.

use super::handle::RequestContext;
use crate::{gateway::Gateway, leases::HeldLeases};
use fulmarhead_lib::{
    forward::Progress,
    ids::TargetId,
    placement::{AttemptResult, Choice, StreamMeter, Work, WorkId},
    quarantine::{AnswerStage, SUSTAINED_TIME},
    routes::Service,
};
use std::{sync::Arc, time::Instant};

/// Prefill time of a whole prompt, in milliseconds, from which the other entries are notified of
/// the request immediately: such a prefill lengthens a pass of the engine so much that the other
/// streams of its target fall behind.
const LONG_PREFILL_MS: f64 = 15.0;

/// The load of a request on its target and helpers, recorded in the pool until this is dropped.
/// Dropping it also releases the leases of the request.
pub(super) struct InFlightWork {
    gateway: Arc<Gateway>,
    target: TargetId,
    work_id: Option<WorkId>,
    /// Helpers that only compute a part of the prefill; their work ends with the first byte of the
    /// response.
    prefill_helpers: Vec<(TargetId, WorkId)>,
    /// Helpers that hold a part of the KV cache; their work ends with the request.
    cache_holders: Vec<(TargetId, WorkId)>,
    pub(super) leases: HeldLeases,
    pub(super) started_at: Instant,
    /// Whether the target has sent its first bytes.
    has_responded: bool,
    /// Whether the head of the answer has arrived.
    has_begun: bool,
    /// Measures the speed of the target.
    meter: StreamMeter,
    /// Time of the first event.
    first_event: Option<Instant>,
    /// Latest stage that the answer has reached.
    stage: Option<AnswerStage>,
    result: AttemptResult,
}

impl InFlightWork {
    pub(super) fn begin(
        context: &RequestContext,
        service: &Service,
        choice: &Choice,
        leases: HeldLeases,
    ) -> Self {
        let gateway = Arc::clone(&context.gateway);
        let now = gateway.clock.now();
        let mut state = gateway.state();
        let held_tokens = choice.helpers.iter().map(|helper| helper.held_tokens).sum();
        let work =
            Work::new(&context.profile, choice.prefill_ms, now).excluding_tokens(held_tokens);
        let work_id = state.pool.begin_request(&choice.target, work, now);
        let (mut prefill_helpers, mut cache_holders) = (Vec::new(), Vec::new());
        for helper in &choice.helpers {
            let (list, helper_work) = match helper.held_tokens {
                0 => (
                    &mut prefill_helpers,
                    Work::for_helper(&context.profile, choice.prefill_ms, now),
                ),
                tokens => (
                    &mut cache_holders,
                    Work::for_holder(&context.profile, tokens, choice.prefill_ms, now),
                ),
            };
            let id = state.pool.begin_helper(&helper.target, helper_work);
            list.extend(id.map(|id| (helper.target.clone(), id)));
        }
        drop(state);
        if choice.prefill_ms * (1 + choice.helpers.len()) as f64 >= LONG_PREFILL_MS {
            gateway.notify_peers();
        }
        let (target, result) = (choice.target.clone(), AttemptResult::Abandoned);
        Self {
            gateway,
            target,
            work_id,
            prefill_helpers,
            cache_holders,
            leases,
            started_at: now,
            has_responded: false,
            has_begun: false,
            meter: StreamMeter::begin(choice, service.engine.as_ref(), now),
            first_event: None,
            stage: None,
            result,
        }
    }

    /// Records that the target sent bytes. The first bytes show that the prefill is complete.
    pub(super) fn record_activity(&mut self) {
        let now = self.gateway.clock.now();
        let mut state = self.gateway.state();
        state.pool.record_activity(&self.target, now);
        let Some(id) = self.work_id.filter(|_| !self.has_responded) else { return };
        self.has_responded = true;
        state.pool.record_first_event(&self.target, id);
        for (target, id) in self.prefill_helpers.drain(..) {
            state.pool.end_helper(&target, id);
        }
        for (target, id) in &self.cache_holders {
            state.pool.record_first_event(target, *id);
        }
    }

    /// Returns how much of the answer has arrived.
    pub(super) fn progress(&self) -> Progress {
        let now = self.gateway.clock.now();
        match self.first_event {
            Some(at) if now.saturating_duration_since(at) < SUSTAINED_TIME => Progress::Started,
            Some(_) => Progress::Streaming,
            None if self.has_begun => Progress::Begun,
            None => Progress::Waiting,
        }
    }

    /// Records that the head of the answer has arrived.
    pub(super) fn record_begin(&mut self) {
        self.has_begun = true;
    }

    /// Records that events have arrived. Returns the stage that the answer reaches with them, if that
    /// is new.
    pub(super) fn record_events(&mut self) -> Option<AnswerStage> {
        self.record_activity();
        let now = self.gateway.clock.now();
        self.gateway.state().pool.record_events(&self.target, &mut self.meter, now);
        self.first_event.get_or_insert(now);
        self.record_stage(match self.progress() {
            Progress::Streaming => AnswerStage::Sustained,
            _ => AnswerStage::FirstEvent,
        })
    }

    /// Records that the next events are awaited from now on, and returns that time.
    pub(super) fn begin_wait(&mut self) -> Instant {
        let now = self.gateway.clock.now();
        self.meter.begin_wait(now);
        now
    }

    /// Records that the answer has reached `stage`, and returns it if that is new.
    pub(super) fn record_stage(&mut self, stage: AnswerStage) -> Option<AnswerStage> {
        let is_new = self.stage < Some(stage);
        self.stage = self.stage.max(Some(stage));
        is_new.then_some(stage)
    }

    /// Sets the result to report when the work ends; `Abandoned` if it is never set.
    pub(super) fn set_result(&mut self, result: AttemptResult) {
        self.result = result;
    }
}

impl Drop for InFlightWork {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let mut state = self.gateway.state();
        state.pool.end_request(&self.target, self.work_id, self.result, now);
        for (target, id) in self.prefill_helpers.drain(..).chain(self.cache_holders.drain(..)) {
            state.pool.end_helper(&target, id);
        }
        state.shortage.wake_next(now);
        drop(state);
    }
}
