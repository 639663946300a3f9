//! Evidence against one feature, as a sum over crashes.

use super::crash::{Crash, STARTED_WEIGHT};
use std::time::{Duration, Instant};

/// Time within which crashes form a cluster. Targets that crash together have a common cause, such as
/// a power failure, of which many requests with a common feature are victims.
pub(super) const CLUSTER_TIME: Duration = Duration::from_millis(50);

/// Number of crashes of one cluster that count against a part, if few requests were lost in the later
/// ones. Further crashes count only if they took nothing but requests that were sent again.
const MAX_CLUSTER_COUNT: usize = 2;

/// Evidence that a feature crashes targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Suspicion {
    /// Sum of the weights of the crashes that count. For a content, all crashes within a cluster do: a
    /// request that is sent again at once crashes its targets within a few milliseconds.
    pub(super) weight: u32,
    /// Sum of the weights of the crashes in which few requests were lost, without those within a
    /// cluster that do not count.
    pub(super) few_weight: u32,
    /// Sum of the weights of the crashes that a held content explains.
    pub(super) explained_weight: u32,
    /// Whether one of the crashes has the weight of one that came after the first event.
    pub(super) is_weak: bool,
    /// Time of the first crash.
    pub(super) first_at: Instant,
    cluster: Cluster,
    /// Positions, in the order of time, of the crashes that the feature is suspected of.
    pub(super) crashes: Vec<usize>,
}

impl Suspicion {
    /// Returns a suspicion without crashes, of which the first is at `at`.
    pub(super) fn new(at: Instant) -> Self {
        Self {
            weight: 0,
            few_weight: 0,
            explained_weight: 0,
            is_weak: false,
            first_at: at,
            cluster: Cluster::new(at),
            crashes: Vec::new(),
        }
    }

    /// Adds the crash at `position`, with its weight for the feature.
    pub(super) fn add(
        &mut self,
        event: CrashEvent<'_>,
        weight: u32,
        position: usize,
        is_content: bool,
    ) {
        self.crashes.push(position);
        // Many callers may send the same content at the same time.
        let event = CrashEvent { is_resent: event.is_resent && !is_content, ..event };
        let counts = self.cluster.add(event);
        if counts || is_content {
            self.weight += weight;
            self.is_weak |= weight == STARTED_WEIGHT;
        }
        if counts {
            self.few_weight += if event.crash.has_few_lost() { weight } else { 0 };
        }
    }
}

/// A crash in the order of time.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashEvent<'a> {
    pub(super) crash: &'a Crash,
    /// Whether all requests that were lost in it had been lost in earlier crashes of the same cluster,
    /// so that the target was asked only after those.
    pub(super) is_resent: bool,
}

/// Crashes within a short time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Cluster {
    began_at: Instant,
    /// Number of crashes that count.
    count: usize,
}

impl Cluster {
    /// Returns a cluster without crashes.
    pub(super) fn new(began_at: Instant) -> Self {
        Self { began_at, count: 0 }
    }

    /// Adds a crash, which begins a new cluster if it came later than [`CLUSTER_TIME`] after the first
    /// crash of this one. Returns whether it counts.
    pub(super) fn add(&mut self, CrashEvent { crash, is_resent }: CrashEvent<'_>) -> bool {
        if crash.at.saturating_duration_since(self.began_at) >= CLUSTER_TIME {
            *self = Self::new(crash.at);
        }
        let is_single = self.count < MAX_CLUSTER_COUNT && crash.has_few_lost();
        let counts = self.count == 0 || is_resent || is_single;
        self.count += usize::from(counts);
        counts
    }
}
