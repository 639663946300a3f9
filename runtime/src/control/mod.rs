//! The control protocol between the system's processes: tarpc over TCP, encoded by bincode.

mod client;
mod protocol;
mod server;
mod transport;

pub use self::{
    client::{Peer, PeerError},
    protocol::{Control, ControlClient},
    server::{ControlServer, Handler},
    transport::{Wire, wire},
};
