//! Membership of the entries of a fleet, and the few peers with which one entry exchanges state.
//!
//! Entries that exchange with all others cost each of them a share that grows with the fleet.
//! Instead, the entries of a zone exchange with one of them, the relay, and the relays of the zones
//! exchange with each other. Each entry derives the relay from the same ranking, so that there is
//! no election, and continues with the next one in the ranking when a relay fails.

mod contact;
mod link;
mod roster;

pub use self::{
    link::Link,
    roster::{EntryInfo, Roster},
};
