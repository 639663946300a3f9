//! HTTP server and client with timeouts and size limits.

mod accept;
mod bodies;
mod caller_stream;
mod client;
mod server;

pub use self::{
    accept::{accept_caller, bind_callers, serve_late},
    bodies::{BodyBudget, BodyBuffer, BodyLimits, BodyReadError, HeldBody, HeldMemory},
    caller_stream::CallerStream,
    client::{Client, ClientError, Endpoint, read_body},
    server::{Server, ServerSettings},
};
