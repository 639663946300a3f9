//! Other entries: who they are, what they have in flight and what they know of the store.

mod exchange;
mod protocol;
mod roster;
mod server;
mod task;

pub(crate) use self::{exchange::Fetch, roster::Roster, server::PeerServer, task::keep_peers};
