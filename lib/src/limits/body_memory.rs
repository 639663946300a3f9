//! Memory of a process for the bodies that it holds for callers.
//!
//! Decides whether a body may grow, and which bodies are ended when others need their memory.

use crate::ids::BodyId;
use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Share of the memory of a process that bodies may take. At 160 MB this is 40 MB. The program, its
/// state and 1,500 connections with the largest heads take up to 105 MB, as measured; the rest is
/// for what the kernel holds.
const BODY_SHARE: f64 = 0.25;

/// Least memory for bodies, in bytes, so that a single body of the largest size on the platform (4
/// MiB) is served whatever the memory of the process.
const MIN_CAPACITY: usize = 8 << 20;

/// Share of the memory for bodies that large request bodies may take. The rest is kept for small
/// ones and for responses.
const LARGE_SHARE: f64 = 0.75;

/// Size up to which a request body is small, in bytes; ordinary bodies have 600 B to 31 KB.
pub const SMALL_BODY_BYTES: usize = 32 << 10;

/// Time in which a request body has to make progress, or else it may be ended when others need its
/// memory. Callers send ordinary bodies at once.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Number of bytes that count as progress.
pub const PROGRESS_BYTES: usize = 1 << 10;

/// Memory that one connection of a caller may take besides its body, in bytes: its read buffer, the
/// decoded head and the state of its task.
const CONNECTION_BYTES: u64 = 64 << 10;

/// Least number of connections from callers, whatever the memory of the process.
const MIN_CONNECTIONS: usize = 64;

/// Returns the maximum number of connections from callers of a process that may use `process_bytes`
/// bytes of memory in all: `max`, or fewer if their heads would take more than there is.
pub fn connection_limit(process_bytes: u64, max: usize) -> usize {
    let limit = process_bytes / CONNECTION_BYTES;
    usize::try_from(limit).unwrap_or(usize::MAX).max(MIN_CONNECTIONS).min(max)
}

/// What a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// Request of a caller, each byte of which is held `copies` times while the request runs.
    Request {
        /// Number of copies, at least 1.
        copies: usize,
    },
    /// Response of a target that is collected before the caller gets it. Its request may have run,
    /// so it waits for memory. It is ended only where it can't go on and others need its memory.
    Response,
    /// Part of an event of a stream. It is refused if there is no memory, since sound events need
    /// hardly any.
    Event,
}

/// Decision whether a body may grow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// The body may grow.
    Granted,
    /// The body has to wait until memory is released. The named bodies must be ended for it.
    Wait(Vec<BodyId>),
    /// No memory will be free soon.
    Refused,
}

/// Memory of a process for bodies, and who holds it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    /// Memory for all bodies, in bytes.
    capacity: usize,
    /// Memory that all bodies hold, in bytes.
    held: usize,
    last_id: BodyId,
    bodies: BTreeMap<BodyId, BodyState>,
}

/// A body that holds memory.
#[derive(Clone, Copy, Debug)]
struct BodyState {
    kind: BodyKind,
    /// Memory that the body holds, in bytes.
    held: usize,
    stage: Stage,
}

/// Stage of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The body is being received, and has made progress at this time.
    Receiving(Instant),
    /// The response waits for memory since this time.
    Waiting(Instant),
    /// The body is to be ended, and has not released its memory yet.
    Ending,
    /// The body is complete.
    Complete,
}

/// Returns whether [`STALL_TIME`] has passed since `since`.
fn is_over(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) >= STALL_TIME
}

impl BodyState {
    fn copies(&self) -> usize {
        match self.kind {
            BodyKind::Request { copies } => copies,
            BodyKind::Response | BodyKind::Event => 1,
        }
    }

    /// Returns whether the body is that of a request which has made no progress for a time.
    fn is_stalled(&self, now: Instant) -> bool {
        let is_request = matches!(self.kind, BodyKind::Request { .. });
        is_request && matches!(self.stage, Stage::Receiving(progress) if is_over(progress, now))
    }

    /// Returns whether the body is a response that has waited for memory for a time.
    fn has_waited(&self, now: Instant) -> bool {
        matches!(self.stage, Stage::Waiting(since) if is_over(since, now))
    }

    /// Returns whether the body is a response that can't go on now, or has not for a time.
    fn is_stuck(&self, now: Instant) -> bool {
        let is_response = self.kind == BodyKind::Response;
        match self.stage {
            Stage::Receiving(progress) => is_response && is_over(progress, now),
            Stage::Waiting(_) => true,
            Stage::Ending | Stage::Complete => false,
        }
    }

    /// Returns whether the body is that of an ordinary request, also after it grows by `bytes`.
    fn is_small_request(&self, bytes: usize) -> bool {
        let small = SMALL_BODY_BYTES.saturating_mul(self.copies());
        matches!(self.kind, BodyKind::Request { .. }) && self.held.saturating_add(bytes) <= small
    }
}

impl BodyMemory {
    /// Returns the memory for bodies of a process that may use `process_bytes` bytes in all.
    pub fn new(process_bytes: u64) -> Self {
        let capacity = (process_bytes as f64 * BODY_SHARE) as usize;
        Self { capacity: capacity.max(MIN_CAPACITY), held: 0, last_id: 0, bodies: BTreeMap::new() }
    }

    /// Returns the memory for all bodies, in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the memory that all bodies hold, in bytes.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Registers a body that is about to be received.
    pub fn begin(&mut self, kind: BodyKind, now: Instant) -> BodyId {
        self.last_id += 1;
        let state = BodyState { kind, held: 0, stage: Stage::Receiving(now) };
        self.bodies.insert(self.last_id, state);
        self.last_id
    }

    /// Decides whether a body may grow by `bytes` bytes now, without giving it the memory.
    pub fn check_room(&mut self, id: BodyId, bytes: usize, now: Instant) -> Growth {
        let Some(&body) = self.bodies.get(&id) else { return Growth::Refused };
        let bytes = bytes.saturating_mul(body.copies());
        let limit = self.limit(body, bytes);
        if self.held.saturating_add(bytes) <= limit {
            return Growth::Granted;
        }
        let shortage = self.held.saturating_add(bytes) - limit;
        let growth = match body.kind {
            BodyKind::Event => Growth::Refused,
            BodyKind::Request { .. } | BodyKind::Response => {
                self.make_room(id, body, bytes, shortage, now)
            }
        };
        if let (BodyKind::Response, Some(body)) = (body.kind, self.bodies.get_mut(&id))
            && matches!(body.stage, Stage::Receiving(_))
        {
            body.stage = Stage::Waiting(now);
        }
        growth
    }

    /// Ends other bodies so that `body`, which lacks `shortage` bytes to grow by `bytes`, gets them.
    ///
    /// Responses are ended for ordinary requests, and for responses that have waited for a time,
    /// which otherwise keep each other waiting until their deadlines.
    fn make_room(
        &mut self,
        id: BodyId,
        body: BodyState,
        bytes: usize,
        shortage: usize,
        now: Instant,
    ) -> Growth {
        if let Some(ended) = self.end(id, shortage, |body| body.is_stalled(now)) {
            return Growth::Wait(ended);
        }
        if body.is_small_request(bytes) || body.has_waited(now) {
            let may_end = |other: &BodyState| other.is_stalled(now) || other.is_stuck(now);
            let others = self.bodies.iter().filter(|(other, _)| **other != id);
            let largest =
                others.filter(|(_, other)| may_end(other)).map(|(_, other)| other.held).max();
            // What never ends has the most.
            let is_largest = largest.is_some_and(|largest| largest < body.held);
            if body.kind == BodyKind::Response && is_largest {
                return Growth::Refused;
            }
            if let Some(ended) = self.end(id, shortage, may_end) {
                return Growth::Wait(ended);
            }
        }
        match body.kind {
            BodyKind::Response => Growth::Wait(Vec::new()),
            BodyKind::Request { .. } | BodyKind::Event => Growth::Refused,
        }
    }

    /// Gives a body `bytes` bytes more if they are free.
    pub fn grow(&mut self, id: BodyId, bytes: usize, now: Instant) -> Growth {
        let growth = self.check_room(id, bytes, now);
        if let (Growth::Granted, Some(body)) = (&growth, self.bodies.get_mut(&id)) {
            let bytes = bytes.saturating_mul(body.copies());
            body.held += bytes;
            self.held += bytes;
            if let Stage::Waiting(_) = body.stage {
                body.stage = Stage::Receiving(now);
            }
        }
        growth
    }

    /// Records that [`PROGRESS_BYTES`] bytes of a body have arrived since the last progress.
    pub fn record_progress(&mut self, id: BodyId, now: Instant) {
        if let Some(BodyState { stage: Stage::Receiving(progress), .. }) = self.bodies.get_mut(&id)
        {
            *progress = now;
        }
    }

    /// Records that a body is complete with `bytes` bytes; it gives back what it holds besides.
    pub fn complete(&mut self, id: BodyId, bytes: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            let bytes = bytes.saturating_mul(body.copies()).min(body.held);
            self.held -= body.held - bytes;
            body.held = bytes;
            body.stage = Stage::Complete;
        }
    }

    /// Removes a body and releases its memory.
    pub fn release(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.held -= body.held;
        }
    }

    /// Marks all stalled bodies to be ended, because others need their connections. Returns those
    /// that were not marked before.
    pub fn end_all_stalled(&mut self, now: Instant) -> Vec<BodyId> {
        let stalled = self.bodies.iter_mut().filter(|(_, body)| body.is_stalled(now));
        let ended = stalled.map(|(id, body)| {
            body.stage = Stage::Ending;
            *id
        });
        ended.collect()
    }

    /// Returns the total up to which `body` may grow by `bytes`.
    fn limit(&self, body: BodyState, bytes: usize) -> usize {
        let small = SMALL_BODY_BYTES.saturating_mul(body.copies());
        let is_large = body.kind != BodyKind::Response && body.held.saturating_add(bytes) > small;
        if is_large { (self.capacity as f64 * LARGE_SHARE) as usize } else { self.capacity }
    }

    /// Marks bodies other than `id` that `may_end`, the largest first, so that at least `shortage`
    /// bytes become free. Returns the bodies that were not marked before, or `None` if all of them
    /// hold less.
    fn end(
        &mut self,
        id: BodyId,
        shortage: usize,
        may_end: impl Fn(&BodyState) -> bool,
    ) -> Option<Vec<BodyId>> {
        let ending = self.bodies.values().filter(|body| body.stage == Stage::Ending);
        let mut freed: usize = ending.map(|body| body.held).sum();
        let others = self.bodies.iter().filter(|(other, body)| **other != id && may_end(body));
        let mut others: Vec<(BodyId, usize)> = others.map(|(id, body)| (*id, body.held)).collect();
        others.sort_by_key(|(_, held)| Reverse(*held));
        let mut ended = Vec::new();
        for (id, held) in others {
            if freed >= shortage {
                break;
            }
            freed += held;
            ended.push(id);
        }
        if freed < shortage {
            return None;
        }
        for id in &ended {
            if let Some(body) = self.bodies.get_mut(id) {
                body.stage = Stage::Ending;
            }
        }
        Some(ended)
    }
}
