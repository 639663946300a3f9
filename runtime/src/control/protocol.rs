//! Calls of the control protocol.
#![allow(missing_docs, reason = "tarpc generates items without documentation")]

use fulmarhead_lib::{
    config::Bundle,
    control::{ConfigVersion, ExchangeReply, LeaseReply, LeaseRequest, Report, SyncReply},
    ids::{LeaseId, Revision},
};

/// RPC interface that entries and agents serve.
#[tarpc::service]
pub trait Control {
    /// Compares configuration revisions and returns the callee's configuration if it is newer.
    async fn sync(version: ConfigVersion) -> SyncReply;

    /// Combines `sync` and `report` in one call.
    async fn exchange(version: ConfigVersion) -> ExchangeReply;

    /// Offers a configuration and returns the active revision of the callee afterwards.
    async fn adopt(bundle: Bundle) -> Revision;

    /// Returns the state of an agent, or `None` from an entry.
    async fn report() -> Option<Report>;

    /// Reserves engine memory under a lease ID that the caller chose.
    async fn reserve(lease: LeaseId, request: LeaseRequest) -> LeaseReply;

    /// Renews a lease.
    async fn renew(lease: LeaseId) -> LeaseReply;

    /// Releases a lease and returns whether it was known.
    async fn release(lease: LeaseId) -> bool;
}
