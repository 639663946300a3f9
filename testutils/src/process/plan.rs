//! Composition and performance of a test fleet.

use fulmarhead_lib::ids::{EntryId, TargetId, Tokens, ZoneId};
use std::time::Duration;

/// Availability zones; targets and entries are spread over them.
const ZONES: [&str; 3] = ["za-south-a", "za-south-b", "za-south-c"];

/// Composition and performance of a test fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of application workers.
    pub workers: usize,
    /// Number of sides of a network partition; each has its own configuration service.
    pub sides: usize,
    /// Size of the KV cache of each engine, in tokens.
    pub kv_total: Tokens,
    /// Prefill rate of each engine, in tokens per second.
    pub prefill_rate: Tokens,
    /// Duration of a decode step with one stream.
    pub decode_time: Duration,
    /// Text of prompts at which each engine restarts.
    pub crash_text: Option<String>,
    /// Execution time of one application call.
    pub service_time: Duration,
    /// Time after SIGTERM during which an entry still accepts new requests.
    pub drain_time: Duration,
    /// Maximum time for work to finish after SIGTERM.
    pub stop_timeout: Duration,
    /// Additional environment variables of the entries.
    pub entry_variables: Vec<(String, String)>,
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
            crash_text: None,
            service_time: Duration::from_millis(10),
            drain_time: Duration::from_secs(1),
            stop_timeout: Duration::from_secs(20),
            entry_variables: Vec::new(),
        }
    }
}

impl Plan {
    /// Returns the names of the availability zones.
    pub fn zones(&self) -> Vec<ZoneId> {
        ZONES.map(ToOwned::to_owned).to_vec()
    }

    /// Returns the availability zone of the target or entry with the given index.
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
