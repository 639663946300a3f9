//! The calls between entries.
#![allow(missing_docs, reason = "tarpc generates items without documentation")]

use crate::store::Part;
use fulmarhead_lib::{
    ids::{EntryId, Revision, ZoneId},
    placement::LoadDelta,
    replica::Delta,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// What an entry tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Name of the entry.
    pub(crate) entry: EntryId,
    /// Its control address.
    pub(crate) address: SocketAddr,
    /// Digest of the entries that it knows.
    pub(crate) roster: u64,
    /// Its work in flight, as changes since the last call on the connection.
    pub(crate) loads: LoadDelta,
    /// Revisions of its copies of the store's parts.
    pub(crate) revisions: BTreeMap<Part, Revision>,
    /// Parts that the caller wants, with the revisions of its copies.
    pub(crate) wanted: BTreeMap<Part, Revision>,
    /// What the callee wanted in its last answer.
    pub(crate) deltas: BTreeMap<Part, Delta>,
}

/// What an entry has of one part of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stamp {
    /// Revision of its copy.
    pub(crate) at: Revision,
    /// How old the copy is; none if it was never confirmed.
    pub(crate) age: Option<Duration>,
}

/// The answer to a `Hello`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// Zone of the callee.
    pub(crate) zone: ZoneId,
    /// Control addresses of the entries that the callee knows, if the caller knows others.
    pub(crate) entries: Vec<SocketAddr>,
    /// The callee's copies.
    pub(crate) stamps: BTreeMap<Part, Stamp>,
    /// Parts that the callee wants, with the revisions of its copies.
    pub(crate) wanted: BTreeMap<Part, Revision>,
    /// What the caller wanted.
    pub(crate) deltas: BTreeMap<Part, Delta>,
}

/// Calls that entries answer.
#[tarpc::service]
pub(crate) trait Peering {
    /// Tells what the caller has in flight, and exchanges what one of the two lacks.
    async fn exchange(hello: Hello) -> Answer;
}
