//! Protocol of the exchanges between entries.
#![allow(missing_docs, reason = "tarpc generates items without documentation")]

use crate::store::StorePart;
use fulmarhead_lib::{
    ids::EntryId,
    membership::{EntryInfo, Link},
    placement::{LimitNews, LoadDelta},
    quarantine::News,
    replica::{Delta, Position},
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Maximum size of a message, in bytes: complete copies of both parts of the store (8 MiB each at
/// most, see [`fulmarhead_platform::MAX_SNAPSHOT_BYTES`]), the entries and their loads.
pub(crate) const MAX_MESSAGE_BYTES: usize = 20 << 20;

/// Number of the present version of the messages.
///
/// The version follows the name of the entry, in place of the kind of an address in requests without
/// one, of which it is no valid number. An entry of either version then refuses the other's requests
/// instead of decoding the rest as something else.
const VERSION: u32 = 3;

/// Version of the messages. Only the present one can be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProtocolVersion;

impl Serialize for ProtocolVersion {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u32(VERSION)
    }
}

impl<'de> Deserialize<'de> for ProtocolVersion {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match u32::deserialize(deserializer)? {
            VERSION => Ok(Self),
            other => Err(D::Error::custom(format_args!("messages of version {other}"))),
        }
    }
}

/// Request of an exchange.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExchangeRequest {
    /// Name of the requesting entry.
    pub(crate) entry: EntryId,
    /// Version of the messages.
    pub(crate) version: ProtocolVersion,
    /// Control address of the requesting entry.
    pub(crate) address: SocketAddr,
    /// Properties of the requesting entry.
    pub(crate) info: EntryInfo,
    /// Purpose of the connection.
    pub(crate) link: Link,
    /// Digest of the entries that the requesting entry knows.
    pub(crate) roster: u64,
    /// Entries that the requesting entry knows; empty if the responding entry knew the same ones at
    /// its last response, or has not responded yet.
    pub(crate) entries: BTreeMap<SocketAddr, EntryInfo>,
    /// Work in flight of the requesting entry and of its members, as changes since the last
    /// exchange on the connection; `None` if the link carries no loads.
    pub(crate) loads: Option<LoadDelta>,
    /// Whether the loads contain a change that other zones must learn of immediately.
    pub(crate) urgent: bool,
    /// Positions of the requesting entry's replicas.
    pub(crate) positions: BTreeMap<StorePart, Position>,
    /// Parts that the requesting entry requests, with the positions of its replicas.
    pub(crate) wanted: BTreeMap<StorePart, Position>,
    /// Changes of the parts that the responding entry requested in its last response.
    pub(crate) deltas: BTreeMap<StorePart, Delta>,
    /// Changes of the requesting entry's quarantine since the last exchange on the connection.
    pub(crate) quarantine: News,
    /// Changes of the limits of targets that the requesting entry knows, since the last exchange on
    /// the connection.
    pub(crate) limits: Vec<LimitNews>,
}

/// State of an entry's replica of one part of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaStatus {
    /// Position of the replica.
    #[serde(rename = "at")]
    pub(crate) position: Position,
    /// Time since the replica was last known to be up to date with the store; `None` if it never
    /// was.
    pub(crate) age: Option<Duration>,
}

/// Response of an exchange.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExchangeResponse {
    /// Properties of the responding entry.
    pub(crate) info: EntryInfo,
    /// Digest of the entries that the responding entry knows.
    pub(crate) roster: u64,
    /// Entries that the responding entry knows; empty if the requesting entry knows the same ones.
    pub(crate) entries: BTreeMap<SocketAddr, EntryInfo>,
    /// To a member: the work in flight of all entries but the member and those that report to it,
    /// as changes since the last exchange on the connection.
    pub(crate) loads: Option<LoadDelta>,
    /// State of the responding entry's replicas.
    #[serde(rename = "stamps")]
    pub(crate) replicas: BTreeMap<StorePart, ReplicaStatus>,
    /// Parts that the responding entry requests, with the positions of its replicas.
    pub(crate) wanted: BTreeMap<StorePart, Position>,
    /// Changes of the parts that the requesting entry requested.
    pub(crate) deltas: BTreeMap<StorePart, Delta>,
    /// Changes of the responding entry's quarantine since the last exchange on the connection.
    pub(crate) quarantine: News,
    /// Changes of the limits of targets that the responding entry knows, since the last exchange on
    /// the connection.
    pub(crate) limits: Vec<LimitNews>,
}

/// Remote calls that each entry serves.
#[tarpc::service]
pub(crate) trait Peering {
    /// Sends the work in flight that the requesting entry knows to the responding entry, and
    /// transfers parts of the store of which one side has a newer revision.
    async fn exchange(request: ExchangeRequest) -> ExchangeResponse;
}
