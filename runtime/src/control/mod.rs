//! Control protocol between the processes of the system: tarpc over TCP with bincode encoding.

mod client;
mod protocol;
mod server;
mod transport;

pub use self::{
    client::{Peer, PeerError},
    protocol::{Control, ControlClient},
    server::{ControlHandler, ControlServer},
    transport::{ControlTransport, control_transport},
};
