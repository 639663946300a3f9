//! HTTP server and client with timeouts and size limits.

mod client;
mod server;

pub use self::{
    client::{Client, ClientError, Endpoint, read_body},
    server::{Server, ServerSettings},
};
