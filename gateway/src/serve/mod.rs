//! Requests of callers: each connection has a task that reads, routes, forwards and answers them.

mod attempt;
mod body;
mod buffered;
mod events;
mod handle;
mod in_flight;
mod listener;
mod open_requests;
mod record;
mod refusal;
mod request_body;
mod send;
mod waiting;
mod waiting_record;

pub(crate) use self::{
    listener::{CallerServer, max_connections},
    open_requests::OpenRequests,
};
