//! The calls of the control protocol.
#![allow(missing_docs, reason = "tarpc generates items without documentation")]

use fulmarhead_lib::{
    config::Bundle,
    control::{ConfigVersion, ExchangeReply, LeaseReply, LeaseRequest, Report, SyncReply},
    ids::{LeaseId, Revision},
};

/// Calls that entries and agents answer.
#[tarpc::service]
pub trait Control {
    /// Compares configurations and returns the newer one, if the callee has it.
    async fn sync(stamp: ConfigVersion) -> SyncReply;

    /// Compares configurations and returns the state of an agent, in one call.
    async fn exchange(stamp: ConfigVersion) -> ExchangeReply;

    /// Offers a configuration; returns the revision in force afterwards.
    async fn adopt(bundle: Bundle) -> Revision;

    /// Returns the state of an agent, `None` from an entry.
    async fn report() -> Option<Report>;

    /// Reserves engine memory under an identifier that the caller chose.
    async fn reserve(lease: LeaseId, request: LeaseRequest) -> LeaseReply;

    /// Extends a lease.
    async fn renew(lease: LeaseId) -> LeaseReply;

    /// Ends a lease; returns whether it was known.
    async fn release(lease: LeaseId) -> bool;
}
