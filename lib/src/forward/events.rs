//! Splits a stream of server-sent events, which can end at any byte, into complete events.

const EVENT_DELIMITER: &[u8] = b"\n\n";

/// Maximum size of an event, in bytes, far above that of the tokens of one pass of an engine.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Error in a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event is missing or duplicated.
    #[error("event {found} is out of order after event {last}")]
    OutOfOrder {
        /// Identifier of the last event that was in order.
        last: u64,
        /// Identifier of the event that was received.
        found: u64,
    },
    /// An event is larger than [`MAX_EVENT_BYTES`], or never ends.
    #[error("event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// Buffer that yields complete events of a stream and checks that their identifiers are
/// consecutive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBuffer {
    partial: Vec<u8>,
    last: Option<u64>,
}

impl EventBuffer {
    /// Returns a buffer for a stream that continues after the event `last`, or for a new stream if
    /// there is none.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self { partial: Vec::new(), last }
    }

    /// Returns the identifier of the last complete event.
    pub fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the buffer holds no partial event.
    pub fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// Discards a partial event, as when its stream has failed.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Adds bytes and returns the bytes of all events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::OutOfOrder`] if the identifier of an event is not one higher than that
    /// of the event before, and [`EventError::TooLarge`] if the partial event is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        // The bytes before were searched when they were added.
        let searched = self.partial.len().saturating_sub(EVENT_DELIMITER.len() - 1);
        self.partial.extend_from_slice(bytes);
        let end = self.partial[searched..]
            .windows(EVENT_DELIMITER.len())
            .rposition(|window| window == EVENT_DELIMITER)
            .map(|position| searched + position + EVENT_DELIMITER.len());
        if self.partial.len() - end.unwrap_or(0) > MAX_EVENT_BYTES {
            return Err(EventError::TooLarge);
        }
        let Some(end) = end else { return Ok(Vec::new()) };
        let rest = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, rest);
        for line in complete.split(|&byte| byte == b'\n') {
            self.check_order(line)?;
        }
        Ok(complete)
    }

    fn check_order(&mut self, line: &[u8]) -> Result<(), EventError> {
        let Some(found) = parse_event_id(line) else { return Ok(()) };
        if let Some(last) = self.last
            && found != last + 1
        {
            return Err(EventError::OutOfOrder { last, found });
        }
        self.last = Some(found);
        Ok(())
    }
}

fn parse_event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
