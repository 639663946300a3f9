//! Injected faults of the configuration service.

use fulmarhead_lib::ids::Revision;
use serde::{Deserialize, Serialize};

/// Injected faults; they stay active until a test sets others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Whether every call and every waiting watch is answered with 503.
    pub down: bool,
    /// Highest revision that readers see, if later ones are hidden.
    pub stale_at: Option<Revision>,
    /// Delay before each response, in milliseconds.
    pub slow_ms: u64,
    /// Rate limit of all readers together, in calls per second; overrides the configured limit.
    pub calls_per_second: Option<u32>,
}
