//! Life cycle of a caller's request at an entry, with its deadline and its stream position.

mod cursor;
mod deadline;
mod event_id;
mod lifecycle;

use crate::ids::Tokens;

/// Largest number of tokens of a prompt or an output, far above that of any model. Sums of the sizes
/// of all requests of a fleet stay far below what 64 bits hold.
pub const MAX_REQUEST_TOKENS: Tokens = 1 << 30;

pub use self::{
    cursor::{Cursor, ItemAction, StreamItem},
    deadline::Deadline,
    event_id::{EventId, EventIdError},
    lifecycle::{Admitted, Attempt, Received, Request},
};
