//! Server-sent events: whole events of a stream that may break off anywhere.

/// End of an event.
const END: &[u8] = b"\n\n";

/// Why a stream of events can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event is missing or comes twice.
    #[error("event {found} follows {last}")]
    OutOfOrder {
        /// Identifier of the last event in order.
        last: u64,
        /// Identifier of the event that came.
        found: u64,
    },
}

/// Cuts a stream into whole events and checks their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBuffer {
    partial: Vec<u8>,
    last: Option<u64>,
}

impl EventBuffer {
    /// Returns a buffer of a stream that goes on after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self { partial: Vec::new(), last }
    }

    /// Returns the identifier of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the stream stands between two events.
    pub fn is_whole(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops the beginning of an event that will not be completed.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Adds bytes and returns those of all events that are whole now.
    ///
    /// # Errors
    /// `OutOfOrder` if an event's identifier does not follow that of the event before.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = self.partial.windows(END.len()).rposition(|window| window == END) else {
            return Ok(Vec::new());
        };
        let rest = self.partial.split_off(end + END.len());
        let whole = std::mem::replace(&mut self.partial, rest);
        for line in whole.split(|&byte| byte == b'\n') {
            self.check(line)?;
        }
        Ok(whole)
    }

    fn check(&mut self, line: &[u8]) -> Result<(), EventError> {
        let Some(found) = event_id(line) else { return Ok(()) };
        if let Some(last) = self.last
            && found != last + 1
        {
            return Err(EventError::OutOfOrder { last, found });
        }
        self.last = Some(found);
        Ok(())
    }
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
