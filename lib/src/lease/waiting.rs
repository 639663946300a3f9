//! Queue of the requests that wait for memory of one engine, which prevents their starvation by
//! later requests.

use crate::ids::{RequestId, Tokens};
use std::{collections::BTreeMap, time::Instant};

/// Memory that a request needs, and the time when the request leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct WaitingRequest {
    tokens: Tokens,
    expires_at: Instant,
}

/// Requests for memory made within the wait timeout, ordered by identifier.
///
/// They include requests that have been granted a lease since; callers of [`WaitQueue::first`]
/// filter these out.
///
/// Identifiers are UUIDs of version 7, so this is the order of arrival at the entries, and it is
/// the same at each engine. If each engine used its own order of arrival, two requests could each
/// be first at one engine and be refused at another engine because of the other request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct WaitQueue(BTreeMap<RequestId, WaitingRequest>);

impl WaitQueue {
    /// Adds or updates `request`, which needs `tokens` and is removed at `expires_at` unless it
    /// is inserted again.
    pub(super) fn insert(&mut self, request: RequestId, tokens: Tokens, expires_at: Instant) {
        self.0.insert(request, WaitingRequest { tokens, expires_at });
    }

    /// Removes the requests that have expired.
    pub(super) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, waiting| waiting.expires_at > now);
    }

    /// Returns the first unexpired request for which `is_waiting` returns true, and the memory that
    /// it needs.
    pub(super) fn first(
        &self,
        now: Instant,
        is_waiting: impl Fn(RequestId) -> bool,
    ) -> Option<(RequestId, Tokens)> {
        self.0
            .iter()
            .find(|(request, waiting)| waiting.expires_at > now && is_waiting(**request))
            .map(|(&request, waiting)| (request, waiting.tokens))
    }
}
