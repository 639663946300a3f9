//! HTTP server and client with timeouts and size limits.

mod accept;
mod bodies;
mod caller_stream;
mod client;
mod events;
mod server;

pub use self::{
    accept::{accept_caller, bind_callers, serve_late},
    bodies::{
        BodyBudget, BodyBuffer, BodyLimits, BodyReadError, EventMemory, HeldBody, HeldMemory,
    },
    caller_stream::CallerStream,
    client::{CallLimits, Client, ClientError, Endpoint, read_body},
    events::{EventReadError, EventReader},
    server::{Server, ServerSettings},
};
