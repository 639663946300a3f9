//! The calls between entries.
#![allow(missing_docs, reason = "tarpc generates items without documentation")]

use fulmarhead_lib::{
    ids::{EntryId, Revision, TargetId},
    placement::TargetLoad,
    replica::Delta,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// What an entry knows of one part of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Known {
    /// Revision of its copy.
    pub(crate) at: Revision,
    /// How old the copy is; none if it was never confirmed.
    pub(crate) age: Option<Duration>,
    /// What the callee has and the caller's copy lacks.
    pub(crate) delta: Option<Delta>,
}

/// What an entry tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Name of the entry.
    pub(crate) entry: EntryId,
    /// Control addresses of the entries that it knows.
    pub(crate) entries: Vec<SocketAddr>,
    /// Its work in flight, by target.
    pub(crate) loads: BTreeMap<TargetId, TargetLoad>,
    /// The operator's documents.
    pub(crate) operator: Known,
    /// The list of targets.
    pub(crate) members: Known,
}

/// Calls that entries answer.
#[tarpc::service]
pub(crate) trait Peering {
    /// Exchanges what two entries know; the answer holds what the caller lacks.
    async fn exchange(hello: Hello) -> Hello;
}
