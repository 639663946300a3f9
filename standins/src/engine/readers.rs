//! Tracking of the connections that read each stream, and of streams without a connection.

use fulmarhead_lib::ids::RequestId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// Number of connections that read each stream.
#[derive(Debug, Default)]
pub(super) struct Readers {
    counts: BTreeMap<RequestId, u32>,
    /// Streams without a connection, ordered by the time at which they lost the last one.
    disconnected: BTreeSet<(Instant, RequestId)>,
}

impl Readers {
    /// Records a new connection to a stream.
    pub(super) fn attach(&mut self, request: RequestId) {
        let count = self.counts.entry(request).or_default();
        *count += 1;
        if *count == 1 {
            self.disconnected.retain(|&(_, disconnected)| disconnected != request);
        }
    }

    /// Records that a connection to a stream ended at `now`.
    pub(super) fn detach(&mut self, request: RequestId, now: Instant) {
        let Some(count) = self.counts.get_mut(&request) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.disconnected.insert((now, request));
        }
    }

    /// Removes a stream and its connections.
    pub(super) fn remove(&mut self, request: RequestId) {
        if self.counts.remove(&request) == Some(0) {
            self.disconnected.retain(|&(_, disconnected)| disconnected != request);
        }
    }

    /// Returns the stream that has been without a connection for longest, and since when.
    pub(super) fn longest_disconnected(&self) -> Option<(Instant, RequestId)> {
        self.disconnected.first().copied()
    }
}
