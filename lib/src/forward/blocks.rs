//! Splits the bytes of a stream of server-sent events, which can end at any byte, into blocks of
//! lines, and says which blocks are events.

use super::EventError;
use crate::ids::StreamEventId;
use std::ops::Range;

/// Maximum size, in bytes, of an event with what precedes it since the event before, far above that
/// of the tokens of one pass of an engine.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// Fields that the format of server-sent events defines, besides `id` and `data`.
const DEFINED_FIELDS: [&[u8]; 2] = [b"event", b"retry"];

/// Bytes of a stream from which no event was taken yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Blocks {
    /// Complete blocks without an identifier, then a partial block.
    bytes: Vec<u8>,
    /// Begin of the partial line.
    line_start: usize,
    /// End of the bytes that were searched for the end of a line.
    searched: usize,
    /// Whether the last line ended with a carriage return, to which a line feed may belong that has
    /// not arrived yet.
    after_return: bool,
    block: PartialBlock,
}

/// What is known of the block that the lines so far belong to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PartialBlock {
    id: Option<StreamEventId>,
    has_fields: bool,
    has_data: bool,
    has_undefined_fields: bool,
}

impl Blocks {
    /// Adds bytes of the stream.
    pub(super) fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the memory that the bytes take, in bytes.
    pub(super) fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the identifier of the next event, or `None` until one is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the next bytes are no part of a stream of events.
    pub(super) fn next_event(&mut self) -> Result<Option<StreamEventId>, EventError> {
        while let Some(line) = self.next_line() {
            if !line.is_empty() {
                self.block.add_line(&self.bytes[line])?;
                continue;
            }
            let block = std::mem::take(&mut self.block);
            // Readers of the format ignore undefined fields, so that an event may have them.
            if block.has_undefined_fields && !(block.id.is_some() && block.has_data) {
                return Err(EventError::NotAnEvent);
            }
            if block.id.is_some() {
                return Ok(block.id);
            }
        }
        match self.bytes.len() {
            size if size > MAX_EVENT_BYTES => Err(EventError::TooLarge),
            _ => Ok(None),
        }
    }

    /// Takes the bytes up to the end of the event that was returned last, with the blocks without an
    /// identifier that precede it.
    pub(super) fn take_event(&mut self) -> Vec<u8> {
        let rest = self.bytes.split_off(self.line_start);
        self.searched -= self.line_start;
        self.line_start = 0;
        std::mem::replace(&mut self.bytes, rest)
    }

    /// Returns whether the bytes end inside a block that may be an event. A comment is none.
    pub(super) fn is_inside_block(&self) -> bool {
        self.block.has_fields || self.line_start < self.bytes.len()
    }

    /// Removes the next line and returns where it is, without its end: a carriage return, a line
    /// feed, or both.
    fn next_line(&mut self) -> Option<Range<usize>> {
        self.skip_line_feed();
        let is_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        let Some(offset) = self.bytes[self.searched..].iter().position(is_end) else {
            self.searched = self.bytes.len();
            return None;
        };
        let line = self.line_start..self.searched + offset;
        self.after_return = self.bytes[line.end] == b'\r';
        self.searched = line.end + 1;
        self.line_start = self.searched;
        self.skip_line_feed();
        Some(line)
    }

    fn skip_line_feed(&mut self) {
        let Some(next) = self.bytes.get(self.searched).filter(|_| self.after_return) else {
            return;
        };
        self.after_return = false;
        if *next == b'\n' {
            self.searched += 1;
            self.line_start = self.searched;
        }
    }
}

impl PartialBlock {
    fn add_line(&mut self, line: &[u8]) -> Result<(), EventError> {
        let (name, value) = match line.iter().position(|&byte| byte == b':') {
            // A comment.
            Some(0) => return Ok(()),
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, &line[..0]),
        };
        self.has_fields = true;
        match name {
            b"id" if self.id.is_some() => return Err(EventError::NotAnEvent),
            b"id" => self.id = Some(parse_id(value).ok_or(EventError::NotAnEvent)?),
            b"data" => self.has_data = true,
            name if DEFINED_FIELDS.contains(&name) => {}
            name if is_field_name(name) && name.len() < line.len() => {
                self.has_undefined_fields = true;
            }
            _ => return Err(EventError::NotAnEvent),
        }
        Ok(())
    }
}

fn is_field_name(name: &[u8]) -> bool {
    name.iter().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}

fn parse_id(value: &[u8]) -> Option<StreamEventId> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
