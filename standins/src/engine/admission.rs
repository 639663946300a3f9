//! Admission of calls to the batch, and polling of their streams.

use super::{
    batch::Progress,
    error::EngineError,
    state::EngineState,
    stream::{PromptUsage, Stream, StreamSpec},
    text::Prompt,
};
use fulmarhead_lib::ids::{LeaseId, Position, RequestId, Tokens};
use fulmarhead_runtime::platform::engine::{CompletionRequest, PrefillRequest};
use std::{ops::Range, time::Instant};

/// Refers to the stream of one call; it becomes stale when a later call replaces the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StreamHandle {
    /// Request that identifies the stream.
    pub(super) request: RequestId,
    /// Number of the call; calls of one request differ in it.
    pub(super) call_number: u64,
    /// Hash state of the prompt, from which the tokens are computed.
    pub(super) state: u64,
    /// Length of the prompt and its cached part, in tokens.
    pub(super) prompt: PromptUsage,
}

/// Result of polling a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StreamPoll {
    /// Tokens at these positions are available.
    Tokens(Range<Position>),
    /// The stream ended after this number of tokens.
    End(Position),
    /// Nothing is available; poll again at this time, if any, or after a state change.
    Wait(Option<Instant>),
}

impl EngineState {
    /// Adds the stream of a completion; it replaces an earlier stream of the same request.
    ///
    /// Fails if the model is not loaded, the lease is unknown, or memory or batch is full.
    pub(super) fn start_completion(
        &mut self,
        call: &CompletionRequest,
        prompt: Prompt,
    ) -> Result<StreamHandle, EngineError> {
        if !self.models.is_loaded(&call.model) {
            return Err(EngineError::UnknownModel);
        }
        self.admit_call(call.request_id)?;
        let (memory, prefilled) = match call.lease {
            Some(lease) => (0, self.memory.lease(lease)?.prefilled),
            None => (prompt.tokens + call.max_tokens, 0),
        };
        self.memory.reserve(memory)?;
        let blocks = if call.lease.is_none() { prompt.blocks } else { Vec::new() };
        let cached = self.memory.cache.lookup(&call.model, &blocks);
        let remaining = prompt.tokens - cached;
        let spec = StreamSpec {
            call_number: self.next_call_number(),
            priority: call.priority,
            state: prompt.state,
            prompt: PromptUsage { tokens: prefilled + prompt.tokens, cached },
            start: call.position,
            end: call.max_tokens.max(call.position),
            memory,
            lease: call.lease,
            blocks,
            model: call.model.clone(),
        };
        Ok(self.insert(call.request_id, spec, remaining))
    }

    /// Adds a stream that only prefills a prompt segment into the memory of a lease.
    pub(super) fn start_prefill(
        &mut self,
        lease: LeaseId,
        segment: &PrefillRequest,
        prompt: &Prompt,
    ) -> Result<StreamHandle, EngineError> {
        if self.memory.lease(lease)?.tokens < prompt.tokens {
            return Err(EngineError::NoMemory);
        }
        self.admit_call(segment.request_id)?;
        let spec = StreamSpec {
            call_number: self.next_call_number(),
            priority: segment.priority,
            state: prompt.state,
            prompt: PromptUsage { tokens: prompt.tokens, cached: 0 },
            start: 0,
            end: 0,
            memory: 0,
            lease: Some(lease),
            blocks: Vec::new(),
            model: String::new(),
        };
        Ok(self.insert(segment.request_id, spec, prompt.tokens))
    }

    /// Attaches a new reader to a stream whose connection was lost.
    pub(super) fn resume(&mut self, request: RequestId) -> Result<StreamHandle, EngineError> {
        let spec = self.batch.spec(request).ok_or(EngineError::UnknownStream)?;
        let handle = spec.handle(request);
        self.batch.readers.attach(request);
        Ok(handle)
    }

    /// Detaches a reader from its stream, unless a later call replaced the stream.
    pub(super) fn detach(&mut self, handle: StreamHandle) {
        if self.is_current(handle) {
            self.batch.readers.detach(handle.request, self.now);
        }
    }

    /// Cancels the stream of a call, unless a later call replaced it.
    pub(super) fn cancel_call(&mut self, handle: StreamHandle) {
        if self.is_current(handle) {
            self.cancel(handle.request);
        }
    }

    /// Returns what is available from position `from` on; fails if the stream was removed.
    pub(super) fn poll(
        &self,
        handle: StreamHandle,
        from: Position,
    ) -> Result<StreamPoll, EngineError> {
        if !self.is_current(handle) {
            return Err(EngineError::UnknownStream);
        }
        let progress = self.batch.progress(handle.request).ok_or(EngineError::UnknownStream)?;
        let (next, finished) = match progress {
            Progress::Generated(next) => (next, false),
            Progress::Finished(next) => (next, true),
        };
        if next > from {
            return Ok(StreamPoll::Tokens(from..next));
        }
        if finished {
            return Ok(StreamPoll::End(next));
        }
        let wakeups = [self.batch.chunk_end(), self.batch.step_end()];
        Ok(StreamPoll::Wait(wakeups.into_iter().flatten().min()))
    }

    /// Cancels an earlier call of the same request and checks that the batch can take one more.
    ///
    /// A cold engine restarts if the call exceeds what it can serve.
    fn admit_call(&mut self, request: RequestId) -> Result<(), EngineError> {
        self.cancel(request);
        let requests = self.batch.unfinished() + 1;
        if !self.warmup.can_serve(requests as u64) {
            self.restart();
            return Err(EngineError::Restarted);
        }
        if requests > self.settings.max_requests {
            return Err(EngineError::Overloaded);
        }
        Ok(())
    }

    fn insert(&mut self, request: RequestId, spec: StreamSpec, remaining: Tokens) -> StreamHandle {
        let handle = spec.handle(request);
        // A fully cached prompt still needs the prefill of one token.
        self.batch.insert(request, Stream::new(spec, remaining.max(1)));
        handle
    }

    fn next_call_number(&mut self) -> u64 {
        self.call_count += 1;
        self.call_count
    }

    fn is_current(&self, handle: StreamHandle) -> bool {
        self.batch.spec(handle.request).is_some_and(|spec| spec.call_number == handle.call_number)
    }
}
