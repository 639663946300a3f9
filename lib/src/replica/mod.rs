//! Read-only copies of a key prefix of the platform's store, updated by watches and by other
//! entries.

mod copy;
mod freshness;
mod position;
mod recovery;
mod start;

pub use self::{
    copy::{Change, Delta, Item, Replica},
    freshness::Freshness,
    position::Position,
    recovery::ListRecovery,
    start::{CopyWait, StartRole},
};
