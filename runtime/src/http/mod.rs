//! HTTP servers and clients.

mod client;
mod server;

pub use self::{
    client::{Client, ClientError, Endpoint, read_body},
    server::{Server, ServerSettings},
};
