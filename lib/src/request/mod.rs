//! Life cycle of a caller's request at an entry, with its deadline and its stream position.

mod cursor;
mod deadline;
mod event_id;
mod lifecycle;

pub use self::{
    cursor::{Cursor, ItemAction, StreamItem},
    deadline::Deadline,
    event_id::{EventId, EventIdError},
    lifecycle::{Admitted, Attempt, Received, Request},
};
