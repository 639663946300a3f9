//! Model of an engine that batches continuously.

use fulmarhead_lib::routes::EngineModel;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Model of the engines of the users' large deployment.
pub(crate) const MODEL: EngineModel = EngineModel {
    slots: 10,
    kv_capacity: 315_000,
    step_ms: 0.85,
    sequence_ms: 0.004_25,
    context_ms: 0.002_85,
    prefill_rate: 177.0,
    attention_ms: 0.184,
    stride: 80,
};

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: usize,
    pub(crate) prompt_tokens: u64,
    /// Number of events that remain, one for each pass after the prefill.
    pub(crate) remaining_events: u32,
    pub(crate) prefilled: bool,
}

/// An event that an engine has sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Event {
    pub(crate) id: usize,
    pub(crate) at: Instant,
    pub(crate) is_last: bool,
}

/// An engine that processes the requests in its slots in passes. Each pass prefills the prompts
/// that were admitted before it, and yields one event of each request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    queue: VecDeque<Job>,
    running: Vec<Job>,
    pass_ends_at: Option<Instant>,
}

impl Engine {
    pub(crate) fn accept(&mut self, job: Job, now: Instant) {
        self.queue.push_back(job);
        if self.pass_ends_at.is_none() {
            self.begin_pass(now);
        }
    }

    /// Returns the events of the passes that have ended by `now`.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(at) = self.pass_ends_at.filter(|at| *at <= now) {
            for job in &mut self.running {
                job.prefilled = true;
                job.remaining_events -= 1;
                events.push(Event { id: job.id, at, is_last: job.remaining_events == 0 });
            }
            self.running.retain(|job| job.remaining_events > 0);
            self.begin_pass(at);
        }
        events
    }

    fn begin_pass(&mut self, now: Instant) {
        while self.running.len() < MODEL.slots as usize
            && let Some(job) = self.queue.pop_front()
        {
            self.running.push(job);
        }
        if self.running.is_empty() {
            self.pass_ends_at = None;
            return;
        }
        let waiting = self.running.iter().filter(|job| !job.prefilled);
        let prefill_ms: f64 = waiting.map(|job| MODEL.prefill_ms(job.prompt_tokens)).sum();
        let decoding = self.running.iter().filter(|job| job.prefilled);
        let (count, context) =
            decoding.fold((0, 0), |(count, context), job| (count + 1, context + job.prompt_tokens));
        let decode_ms = match count {
            0 => MODEL.step_ms,
            _ => f64::from(MODEL.stride) * MODEL.decode_step_ms(count, context),
        };
        self.pass_ends_at = Some(now + Duration::from_secs_f64((prefill_ms + decode_ms) / 1e3));
    }
}
