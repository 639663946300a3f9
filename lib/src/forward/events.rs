//! Events of a stream and their order, also where the stream goes on at another target.

use super::blocks::{Blocks, MAX_EVENT_BYTES};
use crate::ids::StreamEventId;
use strum::IntoStaticStr;

/// Error in a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum EventError {
    /// An event is missing or duplicated.
    #[error("event {found} is out of order after event {last}")]
    OutOfOrder {
        /// Identifier of the last event that was in order.
        last: StreamEventId,
        /// Identifier of the event that was received.
        found: StreamEventId,
    },
    /// The target sent something else than events with identifiers.
    #[error("bytes are no event")]
    NotAnEvent,
    /// An event is larger than [`MAX_EVENT_BYTES`], or never ends.
    #[error("event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The process has no memory for an event that is not complete, and is larger than usual.
    #[error("there is no memory for the event")]
    NoMemory,
}

/// How the identifiers of a stream increase, as far as its events show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Numbering {
    /// No two events in a row are known.
    #[default]
    Unknown,
    /// By one from event to event, so that a gap shows a missing event.
    Consecutive,
    /// By different numbers, such as those of tokens.
    Increasing,
}

/// Position of a caller in a stream: the last event that it has, and how events are numbered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamPosition {
    last: Option<StreamEventId>,
    numbering: Numbering,
}

impl StreamPosition {
    /// Returns the position of a caller that has the events up to `last`, or none.
    pub fn after(last: Option<StreamEventId>) -> Self {
        Self { last, numbering: Numbering::Unknown }
    }

    /// Returns the identifier of the last event.
    pub fn last_event(self) -> Option<StreamEventId> {
        self.last
    }

    /// Moves to the event `found`. `resumed` says that another target sent the event before, or that
    /// the caller already had it.
    fn advance(&mut self, found: StreamEventId, resumed: bool) -> Result<(), EventError> {
        let is_next = self.last.unwrap_or(0).checked_add(1) == Some(found);
        if let Some(last) = self.last {
            let is_gap = resumed && self.numbering == Numbering::Consecutive && !is_next;
            if found <= last || is_gap {
                return Err(EventError::OutOfOrder { last, found });
            }
        }
        self.numbering = match self.numbering {
            Numbering::Increasing => Numbering::Increasing,
            _ if is_next => Numbering::Consecutive,
            _ if self.last.is_none() => Numbering::Unknown,
            _ => Numbering::Increasing,
        };
        self.last = Some(found);
        Ok(())
    }
}

/// State of a run that has written no event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silent;

/// State of a run that has written at least one event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Writing {
    error: Option<EventError>,
}

/// One run of a stream: what one target writes. A stream that is interrupted goes on with a new run
/// at another target, from the position that the caller has reached.
///
/// Comments and fields without an identifier, which are no events, are passed on together with the
/// next event, so that a target can't prolong a stream with them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventRun<S> {
    blocks: Blocks,
    position: StreamPosition,
    state: S,
}

/// A run after the bytes that were added to it while it had written no event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// No event is complete.
    Silent(EventRun<Silent>),
    /// The first events, as bytes, and the run that has written them.
    Writing(EventRun<Writing>, Vec<u8>),
}

impl EventRun<Silent> {
    /// Returns a run that goes on from `position`.
    pub fn begin(position: StreamPosition) -> Self {
        Self { blocks: Blocks::default(), position, state: Silent }
    }

    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no event before bytes that are none, or that are out of order.
    pub fn push(mut self, bytes: &[u8]) -> Result<Pushed, EventError> {
        self.blocks.extend(bytes);
        let Some(first) = self.blocks.next_event()? else { return Ok(Pushed::Silent(self)) };
        self.position.advance(first, true)?;
        let mut events = self.blocks.take_event();
        let Self { blocks, position, state: Silent } = self;
        let mut run = EventRun { blocks, position, state: Writing { error: None } };
        events.append(&mut run.take_events());
        Ok(Pushed::Writing(run, events))
    }

    /// Ends the run and returns what followed the last event, if the stream is complete.
    ///
    /// A run without any event adds nothing to a stream that has events, if its end is `delimited`
    /// from that of the connection. Otherwise its target may just as well have crashed.
    pub fn end(mut self, delimited: bool) -> Option<Vec<u8>> {
        let is_complete = delimited && self.position.last.is_some();
        (is_complete && !self.blocks.is_inside_block()).then(|| self.blocks.take_event())
    }
}

impl EventRun<Writing> {
    /// Adds bytes and returns the bytes of all events that are now complete and in order. An error
    /// is kept, and what follows it is ignored.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        if self.state.error.is_some() {
            return Vec::new();
        }
        self.blocks.extend(bytes);
        self.take_events()
    }

    /// Returns the error after the events that were returned so far.
    pub fn error(&self) -> Option<EventError> {
        self.state.error
    }

    /// Ends the run and returns what followed the last event, if the stream is complete.
    pub fn end(mut self) -> Option<Vec<u8>> {
        let is_complete = self.state.error.is_none() && !self.blocks.is_inside_block();
        is_complete.then(|| self.blocks.take_event())
    }

    fn take_events(&mut self) -> Vec<u8> {
        let mut events = Vec::new();
        while self.state.error.is_none() {
            match self.next_event() {
                Ok(true) => events.append(&mut self.blocks.take_event()),
                Ok(false) => break,
                Err(error) => self.state.error = Some(error),
            }
        }
        events
    }

    /// Returns whether there is another complete event.
    fn next_event(&mut self) -> Result<bool, EventError> {
        let Some(found) = self.blocks.next_event()? else { return Ok(false) };
        self.position.advance(found, false)?;
        Ok(true)
    }
}

impl<S> EventRun<S> {
    /// Returns the memory that the bytes of the run take until an event is complete, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.blocks.held_bytes()
    }

    /// Returns the position of the caller, which has got all events that were returned.
    pub fn position(&self) -> StreamPosition {
        self.position
    }
}
