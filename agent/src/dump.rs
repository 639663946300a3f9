//! State dump of an agent, which operators read.

use crate::agent::Agent;
use fulmarhead_runtime::ops::StateDump;
use serde_json::{Value, json};

impl StateDump for Agent {
    fn dump(&self) -> Value {
        let report = self.report();
        let core = self.core();
        json!({
            "process": "agent",
            "target": self.settings.target,
            "kind": self.settings.kind,
            "incarnation": format!("{:016x}", self.incarnation),
            "revision": core.config.revision(),
            "config_error": core.config.last_error().map(ToString::to_string),
            "report": report,
            "keys": core.keys.len(),
            "leases": core.leases.len(),
            "leased_tokens": core.leases.used(),
        })
    }
}
