//! State that a gateway reports to operators.

use crate::gateway::Gateway;
use fulmarhead_runtime::ops::StateDump;
use serde_json::{Value, json};

impl StateDump for Gateway {
    fn dump(&self) -> Value {
        let now = self.clock.uptime();
        let entry_count = self.entry_count();
        let state = self.state();
        let pool = state.pool.summary();
        json!({
            "node": self.settings.vm_name,
            "zone": self.settings.zone,
            "version": state.table.as_ref().map(|table| table.version()),
            "routes": state.table.as_ref().map(|table| table.len()),
            "configuration_age_ms":
                state.config_replica.freshness().age(now).map(|age| age.as_millis() as u64),
            "list_revision": state.target_list.revision(),
            "targets": pool.targets,
            "zones_out": pool.excluded_zones,
            "reporting_peers": pool.peers,
            "entries": entry_count,
        })
    }
}
