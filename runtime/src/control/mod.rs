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

/// Maximum size of a message, large enough for the full configuration of the largest supported
/// fleet.
const MAX_FRAME_BYTES: usize = 32 << 20;
