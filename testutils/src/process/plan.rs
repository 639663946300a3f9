//! What a fleet of processes consists of.

use fulmarhead_lib::ids::{EntryId, TargetId, Tokens, ZoneId};
use std::time::Duration;

/// Availability zones; targets and entries are spread over them.
const ZONES: [&str; 3] = ["za-south-a", "za-south-b", "za-south-c"];

/// Kinds, numbers and abilities of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of application workers.
    pub workers: usize,
    /// Sides into which the network may split; each has its own configuration service.
    pub sides: usize,
    /// KV cache of each engine, in tokens.
    pub kv_total: Tokens,
    /// Prefill rate of each engine, in tokens a second.
    pub prefill_rate: Tokens,
    /// Time for one token of an otherwise empty batch.
    pub decode_time: Duration,
    /// Time for one call of an application.
    pub service_time: Duration,
    /// Time after SIGTERM in which an entry still takes new requests.
    pub drain_time: Duration,
    /// Longest time for work to finish after SIGTERM.
    pub stop_bound: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 3,
            workers: 2,
            sides: 1,
            kv_total: 50_000,
            prefill_rate: 400_000,
            decode_time: Duration::from_millis(5),
            service_time: Duration::from_millis(10),
            drain_time: Duration::from_secs(1),
            stop_bound: Duration::from_secs(20),
        }
    }
}

impl Plan {
    /// Returns the names of the zones.
    pub fn zones(&self) -> Vec<ZoneId> {
        ZONES.map(ToOwned::to_owned).to_vec()
    }

    /// Returns the zone of the target or entry with the given index.
    pub fn zone(&self, index: usize) -> ZoneId {
        ZONES[index % ZONES.len()].to_owned()
    }

    /// Returns the names of the engines, each with its index in the plan.
    pub fn engine_ids(&self) -> Vec<(usize, TargetId)> {
        (0..self.engines).map(|index| (index, format!("engine-{}", index + 1))).collect()
    }

    /// Returns the names of the workers, each with its index in the plan.
    pub fn worker_ids(&self) -> Vec<(usize, TargetId)> {
        (0..self.workers).map(|index| (index, format!("worker-{}", index + 1))).collect()
    }

    /// Returns the names of the entries, each with its index in the plan.
    pub fn entry_ids(&self) -> Vec<(usize, EntryId)> {
        (0..self.entries).map(|index| (index, format!("entry-{}", index + 1))).collect()
    }

    /// Returns the names of all targets, each with its index among those of its kind.
    pub fn target_ids(&self) -> Vec<(usize, TargetId)> {
        self.engine_ids().into_iter().chain(self.worker_ids()).collect()
    }
}
