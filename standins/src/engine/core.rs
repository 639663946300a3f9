//! All state of an engine, computed up to the present on each call.
//!
//! Nothing runs between calls: chunks, steps, orders and hold times that ended since the last
//! call are carried out in the order of their ends.

use super::{
    batch::Batch,
    cache::PrefixCache,
    error::EngineError,
    events::EventLog,
    figures::{Figures, History},
    memory::Memory,
    models::Models,
    settings::EngineSettings,
    stream::Work,
};
use crate::cold::Warmth;
use fulmarhead_lib::ids::{LeaseId, RequestId};
use fulmarhead_runtime::platform::engine::EngineLoad;
use std::time::Instant;

/// All state of an engine.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) settings: EngineSettings,
    pub(super) now: Instant,
    pub(super) batch: Batch,
    pub(super) memory: Memory,
    pub(super) models: Models,
    pub(super) warmth: Warmth,
    pub(super) numbers: u64,
    history: History,
    restarts: u64,
    up_at: Instant,
}

/// What happens next by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Chunk,
    Step,
    Order,
    Expiry(RequestId),
}

impl Core {
    /// Returns the state of an engine that has just started.
    pub(super) fn new(settings: EngineSettings, now: Instant) -> Self {
        let events = EventLog::new(settings.event_delay, settings.event_loss, now);
        let cache = PrefixCache::new(settings.cache_total, events);
        Self {
            now,
            batch: Batch::default(),
            memory: Memory::new(settings.kv_total, cache),
            models: Models::new(&settings),
            warmth: Warmth::new(settings.cold),
            numbers: 0,
            history: History::new(settings.load_lag, now),
            restarts: 0,
            up_at: now,
            settings,
        }
    }

    /// Carries out everything that ended by `now`.
    pub(super) fn advance(&mut self, now: Instant) {
        while let Some((at, event)) = self.next_event().filter(|&(at, _)| at <= now) {
            self.set_now(at);
            self.handle(event);
            self.settle();
        }
        self.set_now(now);
    }

    /// Starts what the last change made possible.
    pub(super) fn settle(&mut self) {
        for work in self.batch.collect_finished() {
            self.warmth.count_finished();
            self.memory.give_back(work.memory);
        }
        self.batch.schedule(&self.settings, self.now);
        self.history.record(self.now, self.figures());
    }

    /// Removes a stream and frees its memory; returns whether it was known.
    pub(super) fn cancel(&mut self, request: RequestId) -> bool {
        let Some((work, open)) = self.batch.remove(request) else { return false };
        if open {
            self.memory.give_back(work.memory);
        }
        true
    }

    /// Frees the memory of a lease and cancels the streams that use it.
    pub(super) fn free(&mut self, lease: LeaseId) -> Result<(), EngineError> {
        for request in self.batch.of_lease(lease) {
            self.cancel(request);
        }
        self.memory.free(lease)
    }

    /// Restarts: all streams, leases, cached prefixes and open orders are gone.
    pub(super) fn restart(&mut self) {
        self.batch = Batch::default();
        self.memory.clear();
        self.models.forget_orders();
        self.warmth.turn_cold();
        self.restarts += 1;
        self.up_at = self.now + self.settings.restart_time;
    }

    /// Returns whether the engine is away because it restarts.
    pub(super) fn is_down(&self) -> bool {
        self.now < self.up_at
    }

    /// Returns the load as the engine reports it.
    pub(super) fn load(&mut self) -> EngineLoad {
        let figures = self.history.shown(self.now);
        EngineLoad {
            restarts: self.restarts,
            running: figures.running as u32,
            waiting: figures.waiting as u32,
            prefill_waiting: figures.prefill_waiting,
            kv_used: figures.kv_used,
            kv_total: self.settings.kv_total,
            prefill_rate: self.settings.prefill_rate,
            models: self.models.list(),
            role: self.models.role.clone(),
            fencing: self.models.fencing,
        }
    }

    fn next_event(&self) -> Option<(Instant, Event)> {
        let chunk = self.batch.chunk_end().map(|at| (at, Event::Chunk));
        let step = self.batch.step_end().map(|at| (at, Event::Step));
        let order = self.models.order_end().map(|at| (at, Event::Order));
        let unread = self.batch.readers.longest_unread();
        let hold = self.settings.hold;
        let expiry = unread.map(|(since, request)| (since + hold, Event::Expiry(request)));
        [chunk, step, order, expiry].into_iter().flatten().min()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Chunk => {
                if let Some(work) = self.batch.end_chunk() {
                    self.keep_prefix(&work);
                }
            }
            Event::Step => self.batch.end_step(),
            Event::Order => self.models.finish_order(self.now),
            Event::Expiry(request) => {
                self.cancel(request);
            }
        }
    }

    fn keep_prefix(&mut self, work: &Work) {
        if !work.blocks.is_empty() {
            self.memory.keep(&work.model, &work.blocks);
        }
    }

    fn figures(&self) -> Figures {
        Figures {
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
