//! State of an engine, as a discrete-event simulation that advances on each call.
//!
//! No task runs between calls. Each call first processes the prefill chunks, decode steps, orders
//! and reconnect timeouts that ended since the last call, in the order of their ends.

use super::{
    batch::Batch,
    cache::PrefixCache,
    error::EngineError,
    events::EventLog,
    load_history::{LoadHistory, LoadSample},
    memory::Memory,
    models::Models,
    settings::EngineSettings,
    stream::StreamSpec,
};
use crate::cold::WarmupState;
use fulmarhead_lib::ids::{LeaseId, RequestId};
use fulmarhead_runtime::platform::engine::EngineLoad;
use std::time::Instant;

/// Complete state of an engine at the time `now`.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) settings: EngineSettings,
    pub(super) now: Instant,
    pub(super) batch: Batch,
    pub(super) memory: Memory,
    pub(super) models: Models,
    pub(super) warmup: WarmupState,
    pub(super) call_count: u64,
    load_history: LoadHistory,
    restarts: u64,
    restart_end: Instant,
}

/// Event that occurs at a known time without a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ChunkEnd,
    StepEnd,
    OrderEnd,
    ReconnectTimeout(RequestId),
}

impl EngineState {
    /// Returns the state of an engine that has just started.
    pub(super) fn new(settings: EngineSettings, now: Instant) -> Self {
        let events = EventLog::new(settings.event_delay, settings.event_loss, now);
        let cache = PrefixCache::new(settings.cache_total, events);
        Self {
            now,
            batch: Batch::default(),
            memory: Memory::new(settings.kv_total, cache),
            models: Models::new(&settings),
            warmup: WarmupState::new(settings.cold),
            call_count: 0,
            load_history: LoadHistory::new(settings.load_lag, now),
            restarts: 0,
            restart_end: now,
            settings,
        }
    }

    /// Processes all events up to `now`, in order of time.
    pub(super) fn advance(&mut self, now: Instant) {
        while let Some((at, event)) = self.next_event().filter(|&(at, _)| at <= now) {
            self.set_now(at);
            self.process_event(event);
            self.update_schedule();
        }
        self.set_now(now);
    }

    /// Retires finished streams, schedules new work and records a load sample.
    ///
    /// Must be called after each state change.
    pub(super) fn update_schedule(&mut self) {
        for spec in self.batch.collect_finished() {
            self.warmup.count_finished();
            self.memory.release(spec.memory);
        }
        self.batch.schedule(&self.settings, self.now);
        self.load_history.record(self.now, self.load_sample());
    }

    /// Removes a stream and releases its memory; returns whether the stream existed.
    pub(super) fn cancel(&mut self, request: RequestId) -> bool {
        let Some((spec, holds_memory)) = self.batch.remove(request) else { return false };
        if holds_memory {
            self.memory.release(spec.memory);
        }
        true
    }

    /// Frees the memory of a lease, after cancelling the streams that use it.
    pub(super) fn free(&mut self, lease: LeaseId) -> Result<(), EngineError> {
        for request in self.batch.requests_of_lease(lease) {
            self.cancel(request);
        }
        self.memory.free(lease)
    }

    /// Restarts the engine: drops all streams, leases, cached prefixes and pending orders.
    ///
    /// Afterwards the engine is cold, and unavailable for the restart time.
    pub(super) fn restart(&mut self) {
        self.batch = Batch::default();
        self.memory.clear();
        self.models.clear_orders();
        self.warmup.reset();
        self.restarts += 1;
        self.restart_end = self.now + self.settings.restart_time;
    }

    /// Returns whether the engine is unavailable because of a restart.
    pub(super) fn is_restarting(&self) -> bool {
        self.now < self.restart_end
    }

    /// Returns the load report; its load figures lag behind the current state.
    pub(super) fn load(&mut self) -> EngineLoad {
        let sample = self.load_history.reported(self.now);
        EngineLoad {
            restarts: self.restarts,
            running: sample.running as u32,
            waiting: sample.waiting as u32,
            prefill_waiting: sample.prefill_waiting,
            kv_used: sample.kv_used,
            kv_total: self.settings.kv_total,
            prefill_rate: self.settings.prefill_rate,
            models: self.models.list(),
            role: self.models.role.clone(),
            fencing: self.models.fencing,
        }
    }

    fn next_event(&self) -> Option<(Instant, Event)> {
        let chunk = self.batch.chunk_end().map(|at| (at, Event::ChunkEnd));
        let step = self.batch.step_end().map(|at| (at, Event::StepEnd));
        let order = self.models.order_end().map(|at| (at, Event::OrderEnd));
        let disconnected = self.batch.readers.longest_disconnected();
        let reconnect_timeout = self.settings.reconnect_timeout;
        let timeout = disconnected
            .map(|(since, request)| (since + reconnect_timeout, Event::ReconnectTimeout(request)));
        [chunk, step, order, timeout].into_iter().flatten().min()
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::ChunkEnd => {
                if let Some(spec) = self.batch.end_chunk() {
                    self.cache_prefix(&spec);
                }
            }
            Event::StepEnd => self.batch.end_step(),
            Event::OrderEnd => self.models.finish_order(self.now),
            Event::ReconnectTimeout(request) => {
                self.cancel(request);
            }
        }
    }

    fn cache_prefix(&mut self, spec: &StreamSpec) {
        if !spec.blocks.is_empty() {
            self.memory.cache_prefix(&spec.model, &spec.blocks);
        }
    }

    fn load_sample(&self) -> LoadSample {
        LoadSample {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            prefill_waiting: self.batch.prefill_waiting(),
            kv_used: self.memory.used(),
        }
    }

    fn set_now(&mut self, now: Instant) {
        self.now = self.now.max(now);
        self.memory.cache.events.set_now(self.now);
    }
}
