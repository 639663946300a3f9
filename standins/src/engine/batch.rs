//! Continuous batching: prefill in chunks by priority, and steps that add a token to each stream.

use super::{
    readers::Readers,
    settings::EngineSettings,
    stream::{Decoding, Finished, Stream, Waiting, Work},
};
use fulmarhead_lib::ids::{LeaseId, Position, RequestId, Tokens};
use std::{collections::BTreeMap, time::Instant};

/// The streams of an engine.
#[derive(Debug, Default)]
pub(super) struct Batch {
    waiting: BTreeMap<RequestId, Stream<Waiting>>,
    decoding: BTreeMap<RequestId, Stream<Decoding>>,
    finished: BTreeMap<RequestId, Stream<Finished>>,
    pub(super) readers: Readers,
    chunk: Option<Chunk>,
    step: Option<Instant>,
}

/// The part of a prompt that is being prefilled.
#[derive(Debug)]
struct Chunk {
    request: RequestId,
    number: u64,
    tokens: Tokens,
    ends: Instant,
}

/// How far a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Tokens before this position are there.
    Until(Position),
    /// All tokens are there; this is their number.
    Finished(Position),
}

impl Batch {
    /// Returns the requests that are not finished.
    pub(super) fn open(&self) -> usize {
        self.waiting.len() + self.decoding.len()
    }

    /// Returns the requests that decode.
    pub(super) fn running(&self) -> usize {
        self.decoding.len()
    }

    /// Returns the requests that wait for their prefill.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the tokens that wait for their prefill.
    pub(super) fn prefill_waiting(&self) -> Tokens {
        self.waiting.values().map(|stream| stream.phase.left).sum()
    }

    /// Adds a stream with one reader.
    pub(super) fn insert(&mut self, request: RequestId, stream: Stream<Waiting>) {
        self.readers.attach(request);
        self.waiting.insert(request, stream);
    }

    /// Returns the end of the current chunk.
    pub(super) fn chunk_end(&self) -> Option<Instant> {
        self.chunk.as_ref().map(|chunk| chunk.ends)
    }

    /// Returns the end of the current step.
    pub(super) fn step_end(&self) -> Option<Instant> {
        self.step
    }

    /// Starts a chunk and a step if there is work for them.
    pub(super) fn schedule(&mut self, settings: &EngineSettings, now: Instant) {
        if self.chunk.is_none() {
            self.chunk = self.next_chunk(settings, now);
        }
        if self.step.is_none() && !self.decoding.is_empty() {
            self.step = Some(now + settings.step_time(self.decoding.len()));
        }
    }

    fn next_chunk(&self, settings: &EngineSettings, now: Instant) -> Option<Chunk> {
        let rank = |stream: &Stream<Waiting>| (stream.work.priority, stream.work.number);
        let first = self.waiting.iter().min_by_key(|(_, stream)| rank(stream));
        let (&request, stream) = first?;
        let tokens = stream.phase.left.min(settings.chunk.max(1));
        let ends = now + settings.prefill_time(tokens);
        Some(Chunk { request, number: stream.work.number, tokens, ends })
    }

    /// Ends the current chunk; returns the work whose prefill is complete.
    pub(super) fn end_chunk(&mut self) -> Option<Work> {
        let chunk = self.chunk.take()?;
        let stream = self.waiting.get_mut(&chunk.request)?;
        if stream.work.number != chunk.number {
            return None;
        }
        stream.phase.left -= chunk.tokens;
        if stream.phase.left > 0 {
            return None;
        }
        let stream = self.waiting.remove(&chunk.request)?.prefilled();
        let work = stream.work.clone();
        self.decoding.insert(chunk.request, stream);
        Some(work)
    }

    /// Ends the current step, in which each stream gets a token.
    pub(super) fn end_step(&mut self) {
        self.step = None;
        for stream in self.decoding.values_mut() {
            stream.step();
        }
    }

    /// Moves the streams with all tokens to the finished ones; returns their work.
    pub(super) fn collect_finished(&mut self) -> Vec<Work> {
        let complete = self.decoding.extract_if(.., |_, stream| stream.is_complete());
        let complete: Vec<_> = complete.collect();
        if self.decoding.is_empty() {
            self.step = None;
        }
        let mut finished = Vec::new();
        for (request, stream) in complete {
            finished.push(stream.work.clone());
            self.finished.insert(request, stream.finish());
        }
        finished
    }

    /// Removes a stream; returns its work and whether it still held memory.
    pub(super) fn remove(&mut self, request: RequestId) -> Option<(Work, bool)> {
        self.readers.remove(request);
        let waiting = self.waiting.remove(&request).map(|stream| (stream.work, true));
        let decoding = self.decoding.remove(&request).map(|stream| (stream.work, true));
        let finished = self.finished.remove(&request).map(|stream| (stream.work, false));
        if self.decoding.is_empty() {
            self.step = None;
        }
        waiting.or(decoding).or(finished)
    }

    /// Returns the requests that use the memory of a lease.
    pub(super) fn of_lease(&self, lease: LeaseId) -> Vec<RequestId> {
        let waiting = self.waiting.iter().map(|(request, stream)| (request, &stream.work));
        let decoding = self.decoding.iter().map(|(request, stream)| (request, &stream.work));
        let all = waiting.chain(decoding);
        all.filter(|(_, work)| work.lease == Some(lease)).map(|(&request, _)| request).collect()
    }

    /// Returns the work of a stream.
    pub(super) fn work(&self, request: RequestId) -> Option<&Work> {
        let waiting = self.waiting.get(&request).map(|stream| &stream.work);
        let decoding = self.decoding.get(&request).map(|stream| &stream.work);
        let finished = self.finished.get(&request).map(|stream| &stream.work);
        waiting.or(decoding).or(finished)
    }

    /// Returns how far a stream is.
    pub(super) fn progress(&self, request: RequestId) -> Option<Progress> {
        if let Some(stream) = self.waiting.get(&request) {
            return Some(Progress::Until(stream.work.start));
        }
        if let Some(stream) = self.decoding.get(&request) {
            return Some(Progress::Until(stream.phase.next));
        }
        self.finished.get(&request).map(|stream| Progress::Finished(stream.work.end))
    }
}
