//! State that a gateway reports to operators.

use crate::gateway::Gateway;
use fulmarhead_runtime::ops::StateDump;
use serde_json::{Value, json};
use std::collections::BTreeMap;

impl StateDump for Gateway {
    fn dump(&self) -> Value {
        let now = self.clock.uptime();
        let entry_count = self.entry_count();
        let links: BTreeMap<String, &'static str> = self
            .peer_links()
            .into_iter()
            .map(|(address, link)| (address.to_string(), link.into()))
            .collect();
        let is_relay = self.roster().is_relay();
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
            "reporting_peers": pool.reports,
            "entries": entry_count,
            "relay": is_relay,
            "peers": links,
        })
    }
}
