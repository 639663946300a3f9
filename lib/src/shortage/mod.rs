//! Requests that no engine can take at once: whether they wait or are refused, which of them is
//! next, and when a refused caller may return.
//!
//! Each entry decides for its own callers, from the forecast of the pool of targets and from what it
//! has sent itself. No state is shared: callers that return to another entry are recognised by the
//! shorter time that they allow.

mod decision;
mod queue;
mod returns;
mod shares;

pub use self::{
    decision::{Cause, Decision, Standing},
    queue::{Lane, Queue, QueueFull, Ticket, TicketId, Waiter},
    returns::Returns,
    shares::{TeamShares, TeamUsage},
};
