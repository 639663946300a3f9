//! Life cycle of a caller's request at an entry.

mod cursor;
mod deadline;
mod lifecycle;

pub use self::{
    cursor::{Cursor, StreamItem, Verdict},
    deadline::Deadline,
    lifecycle::{Admitted, Attempt, Received, Request},
};
