//! Life cycle of a stream as a type state: waiting for prefill, decoding, finished.

use super::admission::StreamHandle;
use fulmarhead_lib::ids::{LeaseId, Position, RequestId, Tokens};

/// Length of a prompt and its cached part, as the answer reports them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PromptUsage {
    /// Length of the prompt at this engine, in tokens, with the segment in the memory of its lease.
    pub(super) tokens: Tokens,
    /// Tokens at its start that were in the prefix cache.
    pub(super) cached: Tokens,
}

/// What a call requests from the batch.
#[derive(Clone, Debug)]
pub(super) struct StreamSpec {
    /// Number of the call; a retry has the same request identifier and another number.
    pub(super) call_number: u64,
    /// Priority; 0 is the highest.
    pub(super) priority: u8,
    /// Hash state of the whole prompt.
    pub(super) state: u64,
    pub(super) prompt: PromptUsage,
    /// Position of the first token to generate.
    pub(super) start: Position,
    /// Position after the last token to generate.
    pub(super) end: Position,
    /// KV cache that the stream holds outside of a lease, in tokens.
    pub(super) memory: Tokens,
    /// Lease whose memory the stream uses, if any.
    pub(super) lease: Option<LeaseId>,
    /// Prefix blocks to add to the cache after the prefill.
    pub(super) blocks: Vec<u64>,
    /// Model that the blocks belong to.
    pub(super) model: String,
}

impl StreamSpec {
    /// Returns the handle of the stream of `request`.
    pub(super) fn handle(&self, request: RequestId) -> StreamHandle {
        let Self { call_number, state, prompt, .. } = *self;
        StreamHandle { request, call_number, state, prompt }
    }
}

/// Phase of a stream whose prompt is not completely prefilled.
#[derive(Debug)]
pub(super) struct Waiting {
    /// Prompt tokens that are not prefilled yet.
    pub(super) remaining: Tokens,
}

/// Phase of a stream to which each decode step adds a token.
#[derive(Debug)]
pub(super) struct Decoding {
    /// Position of the next token.
    pub(super) next: Position,
}

/// Phase of a stream that has generated all tokens and has released its memory.
#[derive(Debug)]
pub(super) struct Finished;

/// Stream in the phase `S` of its life cycle.
#[derive(Debug)]
pub(super) struct Stream<S> {
    pub(super) spec: StreamSpec,
    pub(super) phase: S,
}

impl Stream<Waiting> {
    /// Returns a stream with `remaining` tokens to prefill.
    pub(super) fn new(spec: StreamSpec, remaining: Tokens) -> Self {
        Self { spec, phase: Waiting { remaining } }
    }

    /// Moves the stream to the decode phase.
    pub(super) fn start_decoding(self) -> Stream<Decoding> {
        let next = self.spec.start;
        Stream { spec: self.spec, phase: Decoding { next } }
    }
}

impl Stream<Decoding> {
    pub(super) fn add_token(&mut self) {
        self.phase.next += 1;
    }

    /// Returns whether all tokens are generated.
    pub(super) fn is_complete(&self) -> bool {
        self.phase.next >= self.spec.end
    }

    /// Moves the stream to the finished phase.
    pub(super) fn finish(self) -> Stream<Finished> {
        Stream { spec: self.spec, phase: Finished }
    }
}
