//! The life cycle of one stream: waiting for its prefill, decoding, finished.

use fulmarhead_lib::ids::{LeaseId, Position, Tokens};

/// What a call asks of the batch.
#[derive(Clone, Debug)]
pub(super) struct Work {
    /// Number of the call; a repeated request has the same identifier and another number.
    pub(super) number: u64,
    /// Priority; 0 is served first.
    pub(super) priority: u8,
    /// State of the whole prompt.
    pub(super) state: u64,
    /// Position of the first token to generate.
    pub(super) start: Position,
    /// Position after the last token to generate.
    pub(super) end: Position,
    /// Memory that the stream holds by itself, in tokens.
    pub(super) memory: Tokens,
    /// Lease whose memory the stream uses.
    pub(super) lease: Option<LeaseId>,
    /// Prefix blocks to keep after the prefill.
    pub(super) blocks: Vec<u64>,
    /// Model that the blocks belong to.
    pub(super) model: String,
}

/// Life cycle of a stream: its prompt is not prefilled yet.
#[derive(Debug)]
pub(super) struct Waiting {
    /// Tokens that are left to prefill.
    pub(super) left: Tokens,
}

/// Life cycle of a stream: each step of the batch adds a token.
#[derive(Debug)]
pub(super) struct Decoding {
    /// Position of the next token.
    pub(super) next: Position,
}

/// Life cycle of a stream: all tokens are there and the memory is free.
#[derive(Debug)]
pub(super) struct Finished;

/// A stream in one state of its life cycle.
#[derive(Debug)]
pub(super) struct Stream<S> {
    pub(super) work: Work,
    pub(super) phase: S,
}

impl Stream<Waiting> {
    /// Returns a stream with `left` tokens to prefill.
    pub(super) fn new(work: Work, left: Tokens) -> Self {
        Self { work, phase: Waiting { left } }
    }

    /// Begins to decode.
    pub(super) fn prefilled(self) -> Stream<Decoding> {
        let next = self.work.start;
        Stream { work: self.work, phase: Decoding { next } }
    }
}

impl Stream<Decoding> {
    /// Adds a token.
    pub(super) fn step(&mut self) {
        self.phase.next += 1;
    }

    /// Returns whether all tokens are there.
    pub(super) fn is_complete(&self) -> bool {
        self.phase.next >= self.work.end
    }

    /// Ends the generation.
    pub(super) fn finish(self) -> Stream<Finished> {
        Stream { work: self.work, phase: Finished }
    }
}
