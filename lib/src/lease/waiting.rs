//! Requests that wait for memory of one engine, so that later ones do not overtake them for ever.

use crate::ids::{RequestId, Tokens};
use std::{collections::BTreeMap, time::Instant};

/// Memory that a request asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Ask {
    tokens: Tokens,
    until: Instant,
}

/// Requests that asked for memory lately, in the order of their identifiers.
///
/// Identifiers are UUIDs of version 7, so that the order is that of arrival at the entries. It is
/// the same at each engine: if engines ordered requests by arrival at the engine, two requests
/// could each be first at one engine and be refused at the next because of the other one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Waiting(BTreeMap<RequestId, Ask>);

impl Waiting {
    /// Records that `request` asks for `tokens` and will ask again before `until`.
    pub(super) fn ask(&mut self, request: RequestId, tokens: Tokens, until: Instant) {
        self.0.insert(request, Ask { tokens, until });
    }

    /// Forgets the requests that have not asked again in time.
    pub(super) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, ask| ask.until > now);
    }

    /// Returns the first request for which `is_waiting` holds, and the memory that it asked for.
    pub(super) fn first(
        &self,
        now: Instant,
        is_waiting: impl Fn(RequestId) -> bool,
    ) -> Option<(RequestId, Tokens)> {
        self.0
            .iter()
            .find(|(request, ask)| ask.until > now && is_waiting(**request))
            .map(|(&request, ask)| (request, ask.tokens))
    }
}
