//! Faults of the configuration service, set by tests.

use fulmarhead_lib::ids::Revision;
use serde::{Deserialize, Serialize};

/// Faults that are in force until a test sets others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Every call and every waiting watch gets 503.
    pub down: bool,
    /// Readers see no value of a later revision than this one.
    pub stale_at: Option<Revision>,
    /// Time before each answer, in milliseconds.
    pub slow_ms: u64,
    /// Calls a second of all readers together, in place of the usual limit.
    pub calls_per_second: Option<u32>,
}
