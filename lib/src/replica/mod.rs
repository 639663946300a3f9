//! Read-only copies of a prefix of the platform's store, kept by watches and by other entries.

mod copy;
mod freshness;

pub use self::{
    copy::{Change, Delta, Item, Replica},
    freshness::Freshness,
};
