//! The state dump of an entry.

use crate::entry::Entry;
use fulmarhead_runtime::ops::StateDump;
use serde_json::{Value, json};

impl StateDump for Entry {
    fn dump(&self) -> Value {
        let core = self.core();
        let reports = core.known.reports(self.clock.now());
        let targets: Vec<Value> = reports
            .into_iter()
            .map(|(report, age)| json!({ "report": report, "age_ms": age.as_millis() as u64 }))
            .collect();
        json!({
            "process": "entry",
            "id": self.settings.id,
            "zone": self.settings.zone,
            "policy": self.settings.policy,
            "revision": core.view.revision(),
            "config_error": core.view.last_error().map(ToString::to_string),
            "stopping": core.stopping,
            "targets": targets,
        })
    }
}
