//! Precedence of a refused aged request over newer medium and long prompts, which prevents its
//! starvation.

use crate::ids::RequestId;
use std::time::{Duration, Instant};

/// Time within which a refused request must be retried to keep its turn.
const TURN_TIMEOUT: Duration = Duration::from_secs(1);

/// The refused aged request that precedes newer medium and long prompts, and the time of its last
/// refusal. [`Work::aged`](super::Work::aged) says which requests are aged.
///
/// The turn belongs to the oldest request. Identifiers are UUIDs of version 7, so their order is
/// the order of arrival.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AgedTurn(Option<(RequestId, Instant)>);

impl AgedTurn {
    /// Records that an aged request was refused at `now`, and gives it the turn unless an older
    /// request has it.
    pub(super) fn record_refusal(&mut self, request: RequestId, now: Instant) {
        if !self.must_wait(request, now) {
            self.0 = Some((request, now));
        }
    }

    /// Records that a request was admitted, which ends its turn.
    pub(super) fn record_admission(&mut self, request: RequestId) {
        if self.0.is_some_and(|(holder, _)| holder == request) {
            self.0 = None;
        }
    }

    /// Returns whether an older request has the turn, so that `request` must wait.
    pub(super) fn must_wait(&self, request: RequestId, now: Instant) -> bool {
        let active = self
            .0
            .filter(|(_, refused_at)| now.saturating_duration_since(*refused_at) <= TURN_TIMEOUT);
        active.is_some_and(|(holder, _)| holder < request)
    }
}
