//! State that a gateway reports to operators.

use crate::{
    gateway::Gateway,
    quarantine::{contents_text, parts_text},
};
use fulmarhead_lib::quarantine::FeatureSet;
use fulmarhead_runtime::ops::StateDump;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

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
        let limits = pool.request_limits.iter().map(|(target, limit)| {
            (target, json!({"per_second": limit.rate.per_second(), "own_share": limit.share}))
        });
        let limits: BTreeMap<_, _> = limits.collect();
        let quarantine = state.quarantine.summary();
        let encode = |sets: &BTreeSet<FeatureSet>, text: fn(&FeatureSet) -> String| {
            let texts = sets.iter().map(text).filter(|text| !text.is_empty());
            texts.collect::<Vec<String>>()
        };
        json!({
            "node": self.settings.vm_name,
            "zone": self.settings.zone,
            "version": state.table.as_ref().map(|table| table.version()),
            "routes": state.table.as_ref().map(|table| table.len()),
            "configuration_age_ms":
                state.config_replica.freshness().age(now).map(|age| age.as_millis() as u64),
            "list_revision": state.target_list.position().revision,
            "store_era": state.target_list.position().era,
            "targets": pool.targets,
            "zones_out": pool.excluded_zones,
            "limited_targets": limits,
            "reporting_peers": pool.reports,
            "quarantined_parts": encode(&quarantine.held, parts_text),
            "parts_on_trial": encode(&quarantine.on_trial, parts_text),
            "quarantined_contents": encode(&quarantine.held, contents_text),
            "contents_on_trial": encode(&quarantine.on_trial, contents_text),
            "target_crashes": quarantine.crashes,
            "open_requests": self.open_requests.count_stages(),
            "entries": entry_count,
            "relay": is_relay,
            "peers": links,
        })
    }
}
