//! The state of a gateway for operators.

use crate::gateway::Gateway;
use fulmarhead_runtime::ops::StateDump;
use serde_json::{Value, json};

impl StateDump for Gateway {
    fn dump(&self) -> Value {
        let now = self.clock.uptime();
        let entries = self.entries();
        let core = self.core();
        let pool = core.pool.view();
        json!({
            "node": self.settings.vm_name,
            "zone": self.settings.zone,
            "version": core.table.as_ref().map(|table| table.version()),
            "routes": core.table.as_ref().map(|table| table.len()),
            "configuration_age_ms":
                core.operator.freshness().age(now).map(|age| age.as_millis() as u64),
            "list_revision": core.members.revision(),
            "targets": pool.targets,
            "zones_out": pool.excluded_zones,
            "reporting_peers": pool.peers,
            "entries": entries,
        })
    }
}
