//! The turn of a long prompt that was refused, so that shorter ones do not pass it for ever.

use crate::ids::RequestId;
use std::time::{Duration, Instant};

/// Time within which a refused request has to ask again to keep its turn.
const LIFETIME: Duration = Duration::from_secs(1);

/// The aged request that the engine takes next among those with prompts over 8,000 tokens.
///
/// The oldest request has the turn; identifiers are UUIDs of version 7, in the order of arrival.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Turn(Option<(RequestId, Instant)>);

impl Turn {
    /// Records that an aged request was refused at `now`.
    pub(super) fn refused(&mut self, request: RequestId, now: Instant) {
        if !self.holds_back(request, now) {
            self.0 = Some((request, now));
        }
    }

    /// Records that a request was admitted.
    pub(super) fn admitted(&mut self, request: RequestId) {
        if self.0.is_some_and(|(first, _)| first == request) {
            self.0 = None;
        }
    }

    /// Returns whether `request` has to let another one go first.
    pub(super) fn holds_back(&self, request: RequestId, now: Instant) -> bool {
        let current = self.0.filter(|(_, at)| now.saturating_duration_since(*at) <= LIFETIME);
        current.is_some_and(|(first, _)| first < request)
    }
}
