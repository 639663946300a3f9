//! The connections that read streams, and the streams that have none.

use fulmarhead_lib::ids::RequestId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// The connections of all streams.
#[derive(Debug, Default)]
pub(super) struct Readers {
    counts: BTreeMap<RequestId, u32>,
    /// Streams without a connection, and since when.
    unread: BTreeSet<(Instant, RequestId)>,
}

impl Readers {
    /// Adds a connection to a stream.
    pub(super) fn attach(&mut self, request: RequestId) {
        let count = self.counts.entry(request).or_default();
        *count += 1;
        if *count == 1 {
            self.unread.retain(|&(_, unread)| unread != request);
        }
    }

    /// Removes a connection from a stream.
    pub(super) fn detach(&mut self, request: RequestId, now: Instant) {
        let Some(count) = self.counts.get_mut(&request) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.unread.insert((now, request));
        }
    }

    /// Forgets a stream.
    pub(super) fn remove(&mut self, request: RequestId) {
        if self.counts.remove(&request) == Some(0) {
            self.unread.retain(|&(_, unread)| unread != request);
        }
    }

    /// Returns the stream that was without a connection longest, and since when.
    pub(super) fn longest_unread(&self) -> Option<(Instant, RequestId)> {
        self.unread.first().copied()
    }
}
