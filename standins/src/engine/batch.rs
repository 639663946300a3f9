//! Continuous batching: chunked prefill by priority, and decode steps that add one token to each
//! stream.

use super::{
    readers::Readers,
    settings::EngineSettings,
    stream::{Decoding, Finished, Stream, StreamSpec, Waiting},
};
use fulmarhead_lib::ids::{LeaseId, Position, RequestId, Tokens};
use std::{collections::BTreeMap, time::Instant};

/// All streams of an engine, by phase.
#[derive(Debug, Default)]
pub(super) struct Batch {
    waiting: BTreeMap<RequestId, Stream<Waiting>>,
    decoding: BTreeMap<RequestId, Stream<Decoding>>,
    finished: BTreeMap<RequestId, Stream<Finished>>,
    pub(super) readers: Readers,
    chunk: Option<PrefillChunk>,
    step_end: Option<Instant>,
}

/// Prefill chunk in progress: a part of the prompt of one stream.
#[derive(Debug)]
struct PrefillChunk {
    request: RequestId,
    call_number: u64,
    tokens: Tokens,
    ends_at: Instant,
}

/// Generation progress of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Tokens before this position are generated.
    Generated(Position),
    /// Generation ended after this number of tokens.
    Finished(Position),
}

impl Batch {
    /// Returns the number of requests that are not finished.
    pub(super) fn unfinished(&self) -> usize {
        self.waiting.len() + self.decoding.len()
    }

    /// Returns the number of requests in the decode phase.
    pub(super) fn running(&self) -> usize {
        self.decoding.len()
    }

    /// Returns the number of requests whose prefill is not complete.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of prompt tokens that are not prefilled yet.
    pub(super) fn prefill_waiting(&self) -> Tokens {
        self.waiting.values().map(|stream| stream.phase.remaining).sum()
    }

    /// Adds a stream with one attached reader.
    pub(super) fn insert(&mut self, request: RequestId, stream: Stream<Waiting>) {
        self.readers.attach(request);
        self.waiting.insert(request, stream);
    }

    /// Returns when the current prefill chunk ends.
    pub(super) fn chunk_end(&self) -> Option<Instant> {
        self.chunk.as_ref().map(|chunk| chunk.ends_at)
    }

    /// Returns when the current decode step ends.
    pub(super) fn step_end(&self) -> Option<Instant> {
        self.step_end
    }

    /// Starts a prefill chunk and a decode step if none is in progress and a stream needs one.
    pub(super) fn schedule(&mut self, settings: &EngineSettings, now: Instant) {
        if self.chunk.is_none() {
            self.chunk = self.next_chunk(settings, now);
        }
        if self.step_end.is_none() && !self.decoding.is_empty() {
            self.step_end = Some(now + settings.step_time(self.decoding.len()));
        }
    }

    fn next_chunk(&self, settings: &EngineSettings, now: Instant) -> Option<PrefillChunk> {
        let order_key = |stream: &Stream<Waiting>| (stream.spec.priority, stream.spec.call_number);
        let next = self.waiting.iter().min_by_key(|(_, stream)| order_key(stream));
        let (&request, stream) = next?;
        let tokens = stream.phase.remaining.min(settings.prefill_chunk.max(1));
        let ends_at = now + settings.prefill_time(tokens);
        Some(PrefillChunk { request, call_number: stream.spec.call_number, tokens, ends_at })
    }

    /// Ends the current chunk; returns the stream whose prefill is now complete, if any.
    pub(super) fn end_chunk(&mut self) -> Option<StreamSpec> {
        let chunk = self.chunk.take()?;
        let stream = self.waiting.get_mut(&chunk.request)?;
        if stream.spec.call_number != chunk.call_number {
            return None;
        }
        stream.phase.remaining -= chunk.tokens;
        if stream.phase.remaining > 0 {
            return None;
        }
        let stream = self.waiting.remove(&chunk.request)?.start_decoding();
        let spec = stream.spec.clone();
        self.decoding.insert(chunk.request, stream);
        Some(spec)
    }

    /// Ends the current decode step and adds one token to each decoding stream.
    pub(super) fn end_step(&mut self) {
        self.step_end = None;
        for stream in self.decoding.values_mut() {
            stream.add_token();
        }
    }

    /// Moves the streams that have generated all tokens to the finished ones; returns their specs.
    pub(super) fn collect_finished(&mut self) -> Vec<StreamSpec> {
        let completed = self.decoding.extract_if(.., |_, stream| stream.is_complete());
        let completed: Vec<_> = completed.collect();
        if self.decoding.is_empty() {
            self.step_end = None;
        }
        let mut finished = Vec::new();
        for (request, stream) in completed {
            finished.push(stream.spec.clone());
            self.finished.insert(request, stream.finish());
        }
        finished
    }

    /// Removes a stream; returns its spec and whether it still held memory.
    pub(super) fn remove(&mut self, request: RequestId) -> Option<(StreamSpec, bool)> {
        self.readers.remove(request);
        let waiting = self.waiting.remove(&request).map(|stream| (stream.spec, true));
        let decoding = self.decoding.remove(&request).map(|stream| (stream.spec, true));
        let finished = self.finished.remove(&request).map(|stream| (stream.spec, false));
        if self.decoding.is_empty() {
            self.step_end = None;
        }
        waiting.or(decoding).or(finished)
    }

    /// Returns the unfinished requests that use the memory of a lease.
    pub(super) fn requests_of_lease(&self, lease: LeaseId) -> Vec<RequestId> {
        let waiting = self.waiting.iter().map(|(request, stream)| (request, &stream.spec));
        let decoding = self.decoding.iter().map(|(request, stream)| (request, &stream.spec));
        let all = waiting.chain(decoding);
        all.filter(|(_, spec)| spec.lease == Some(lease)).map(|(&request, _)| request).collect()
    }

    /// Returns the spec of a stream in any phase.
    pub(super) fn spec(&self, request: RequestId) -> Option<&StreamSpec> {
        let waiting = self.waiting.get(&request).map(|stream| &stream.spec);
        let decoding = self.decoding.get(&request).map(|stream| &stream.spec);
        let finished = self.finished.get(&request).map(|stream| &stream.spec);
        waiting.or(decoding).or(finished)
    }

    /// Returns the generation progress of a stream, or `None` if it is unknown.
    pub(super) fn progress(&self, request: RequestId) -> Option<Progress> {
        if let Some(stream) = self.waiting.get(&request) {
            return Some(Progress::Generated(stream.spec.start));
        }
        if let Some(stream) = self.decoding.get(&request) {
            return Some(Progress::Generated(stream.phase.next));
        }
        self.finished.get(&request).map(|stream| Progress::Finished(stream.spec.end))
    }
}
