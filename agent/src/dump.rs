//! State dump of an agent, for operators.

use crate::agent::Agent;
use fulmarhead_runtime::ops::StateDump;
use serde_json::{Value, json};

impl StateDump for Agent {
    fn dump(&self) -> Value {
        let report = self.report();
        let state = self.state();
        json!({
            "process": "agent",
            "target": self.settings.target,
            "kind": self.settings.kind,
            "incarnation": format!("{:016x}", self.incarnation),
            "revision": state.config.revision(),
            "config_error": state.config.last_error().map(ToString::to_string),
            "report": report,
            "keys": state.keys.len(),
            "leases": state.leases.len(),
            "leased_tokens": state.leases.used(),
        })
    }
}
