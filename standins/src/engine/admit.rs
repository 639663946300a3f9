//! What enters the batch, and how far it is.

use super::{
    batch::Progress,
    core::Core,
    error::EngineError,
    stream::{Stream, Work},
    text::Prompt,
};
use fulmarhead_lib::ids::{LeaseId, Position, RequestId, Tokens};
use fulmarhead_runtime::platform::engine::{CompletionRequest, PrefillRequest};
use std::{ops::Range, time::Instant};

/// A reader's place in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    /// Request that names the stream.
    pub(super) request: RequestId,
    /// Number of the call.
    pub(super) number: u64,
    /// State of the prompt.
    pub(super) state: u64,
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Poll {
    /// Tokens at these positions.
    Tokens(Range<Position>),
    /// The stream ended after this number of tokens.
    End(Position),
    /// Nothing before this time, unless something changes.
    Wait(Option<Instant>),
}

impl Core {
    /// Adds the stream of a completion.
    pub(super) fn complete(
        &mut self,
        call: &CompletionRequest,
        prompt: Prompt,
    ) -> Result<Place, EngineError> {
        if !self.models.has(&call.model) {
            return Err(EngineError::UnknownModel);
        }
        self.make_way(call.request_id)?;
        let memory = match call.lease {
            Some(lease) => self.memory.lease(lease).map(|_| 0)?,
            None => prompt.tokens + call.max_tokens,
        };
        self.memory.take(memory)?;
        let blocks = if call.lease.is_none() { prompt.blocks } else { Vec::new() };
        let left = prompt.tokens - self.memory.cache.hit(&call.model, &blocks);
        let work = Work {
            number: self.next_number(),
            priority: call.priority,
            state: prompt.state,
            start: call.position,
            end: call.max_tokens.max(call.position),
            memory,
            lease: call.lease,
            blocks,
            model: call.model.clone(),
        };
        Ok(self.insert(call.request_id, work, left))
    }

    /// Adds the prefill of a segment into the memory of a lease.
    pub(super) fn prefill(
        &mut self,
        lease: LeaseId,
        segment: &PrefillRequest,
        prompt: &Prompt,
    ) -> Result<Place, EngineError> {
        if self.memory.lease(lease)?.tokens < prompt.tokens {
            return Err(EngineError::NoMemory);
        }
        self.make_way(segment.request_id)?;
        let work = Work {
            number: self.next_number(),
            priority: segment.priority,
            state: prompt.state,
            start: 0,
            end: 0,
            memory: 0,
            lease: Some(lease),
            blocks: Vec::new(),
            model: String::new(),
        };
        Ok(self.insert(segment.request_id, work, prompt.tokens))
    }

    /// Adds a reader to a stream that lost its connection.
    pub(super) fn resume(&mut self, request: RequestId) -> Result<Place, EngineError> {
        let work = self.batch.work(request).ok_or(EngineError::UnknownStream)?;
        let place = Place { request, number: work.number, state: work.state };
        self.batch.readers.attach(request);
        Ok(place)
    }

    /// Removes a reader from a stream.
    pub(super) fn detach(&mut self, place: Place) {
        if self.is_at(place) {
            self.batch.readers.detach(place.request, self.now);
        }
    }

    /// Removes a stream unless a later call took its place.
    pub(super) fn withdraw(&mut self, place: Place) {
        if self.is_at(place) {
            self.cancel(place.request);
        }
    }

    /// Returns what a reader at position `from` gets; fails if the stream is gone.
    pub(super) fn poll(&self, place: Place, from: Position) -> Result<Poll, EngineError> {
        if !self.is_at(place) {
            return Err(EngineError::UnknownStream);
        }
        let progress = self.batch.progress(place.request).ok_or(EngineError::UnknownStream)?;
        let (next, finished) = match progress {
            Progress::Until(next) => (next, false),
            Progress::Finished(next) => (next, true),
        };
        if next > from {
            return Ok(Poll::Tokens(from..next));
        }
        if finished {
            return Ok(Poll::End(next));
        }
        let ends = [self.batch.chunk_end(), self.batch.step_end()];
        Ok(Poll::Wait(ends.into_iter().flatten().min()))
    }

    /// Ends an earlier call of the same request and checks the load.
    fn make_way(&mut self, request: RequestId) -> Result<(), EngineError> {
        self.cancel(request);
        let requests = self.batch.open() + 1;
        if !self.warmth.carries(requests as u64) {
            self.restart();
            return Err(EngineError::Restarted);
        }
        if requests > self.settings.max_requests {
            return Err(EngineError::Overloaded);
        }
        Ok(())
    }

    fn insert(&mut self, request: RequestId, work: Work, left: Tokens) -> Place {
        let place = Place { request, number: work.number, state: work.state };
        // Even a prompt that is cached as a whole takes one token of prefill.
        self.batch.insert(request, Stream::new(work, left.max(1)));
        place
    }

    fn next_number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn is_at(&self, place: Place) -> bool {
        self.batch.work(place.request).is_some_and(|work| work.number == place.number)
    }
}
