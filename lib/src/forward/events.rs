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

/// Buffer that yields complete events of a stream and checks that their identifiers increase.
///
/// Comments and fields without an identifier, which are no events, are passed on together with the
/// next event, so that a target can't prolong a stream with them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBuffer {
    blocks: Blocks,
    last: Option<StreamEventId>,
    numbering: Numbering,
    /// Whether the last event came from an earlier target or before the caller resumed the stream.
    resumed: bool,
    error: Option<EventError>,
}

impl EventBuffer {
    /// Returns a buffer for a stream that continues after the event `last`, or for a new stream if
    /// there is none.
    pub fn resume_after(last: Option<StreamEventId>) -> Self {
        Self { last, resumed: last.is_some(), ..Self::default() }
    }

    /// Returns the identifier of the last event that [`Self::push`] has returned.
    pub fn last_event(&self) -> Option<StreamEventId> {
        self.last
    }

    /// Returns the error that ended the stream, after the events that [`Self::push`] has returned.
    pub fn error(&self) -> Option<EventError> {
        self.error
    }

    /// Returns whether the stream can end here, since no event is partial.
    pub fn is_complete(&self) -> bool {
        self.error.is_none() && !self.blocks.is_inside_block()
    }

    /// Takes what followed the last event when the stream has ended.
    pub fn take_rest(&mut self) -> Vec<u8> {
        self.blocks.take_event()
    }

    /// Continues after the last event with what another target sends.
    pub fn resume(&mut self) {
        self.blocks = Blocks::default();
        self.resumed = self.last.is_some();
        self.error = None;
    }

    /// Adds bytes and returns the bytes of all events that are now complete and in order. An error
    /// is kept, and what follows it is ignored.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut events = Vec::new();
        if self.error.is_some() {
            return events;
        }
        self.blocks.extend(bytes);
        while self.error.is_none() {
            match self.next_event() {
                Ok(true) => events.append(&mut self.blocks.take_event()),
                Ok(false) => break,
                Err(error) => self.error = Some(error),
            }
        }
        events
    }

    /// Returns whether there is another complete event.
    fn next_event(&mut self) -> Result<bool, EventError> {
        let Some(found) = self.blocks.next_event()? else { return Ok(false) };
        let is_next = self.last.unwrap_or(0).checked_add(1) == Some(found);
        if let Some(last) = self.last {
            let is_gap = self.resumed && self.numbering == Numbering::Consecutive && !is_next;
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
        (self.last, self.resumed) = (Some(found), false);
        Ok(true)
    }
}
