//! State dump of an entry, for operators.

use crate::entry::Entry;
use fulmarhead_runtime::ops::StateDump;
use serde_json::{Value, json};

impl StateDump for Entry {
    fn dump(&self) -> Value {
        let state = self.state();
        let reports = state.targets.reports(self.clock.now());
        let targets: Vec<Value> = reports
            .into_iter()
            .map(|(report, age)| json!({ "report": report, "age_ms": age.as_millis() as u64 }))
            .collect();
        json!({
            "process": "entry",
            "id": self.settings.id,
            "zone": self.settings.zone,
            "policy": self.settings.policy,
            "prefix_affinity": self.settings.affinity,
            "revision": state.config.revision(),
            "config_error": state.config.last_error().map(ToString::to_string),
            "stopping": state.stop.is_some(),
            "targets": targets,
        })
    }
}
