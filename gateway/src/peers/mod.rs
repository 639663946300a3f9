//! Exchanges between entries: their addresses, their work in flight and their replicas of the
//! store.

mod exchange;
mod protocol;
mod server;
mod task;

pub(crate) use self::{exchange::Fetch, server::PeerServer, task::exchange_with_peers};
