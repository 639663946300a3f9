//! Life cycle of a caller's request at an entry.

mod cursor;
mod deadline;
mod event_id;
mod lifecycle;

pub use self::{
    cursor::{Cursor, StreamItem, Verdict},
    deadline::Deadline,
    event_id::{EventId, EventIdError},
    lifecycle::{Admitted, Attempt, Received, Request},
};
