//! An accepted attempt while its stream is read.

use super::{attempt::Attempt, multi_engine::HeldLeases};
use fulmarhead_lib::request::StreamItem;

/// An accepted attempt with the leases that it uses.
pub(super) struct ActiveAttempt {
    pub(super) attempt: Attempt,
    /// Leases of a prompt that spans several engines; they are released on drop.
    pub(super) leases: Option<HeldLeases>,
}

impl ActiveAttempt {
    /// Returns the next item, and renews the leases until it arrives.
    pub(super) async fn next(&mut self) -> Option<StreamItem> {
        match &mut self.leases {
            Some(leases) => leases.renew_while(self.attempt.next()).await.ok().flatten(),
            None => self.attempt.next().await,
        }
    }
}
