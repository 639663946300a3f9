//! Configuration document of a test fleet.

use super::{
    links::{Link, Links, Side},
    plan::Plan,
};
use fulmarhead_lib::{config, digest::sha256_hex};
use serde_json::{Value, json};

/// Bearer token of the only team.
pub const TOKEN: &str = "process-token";

/// Name of the model that all engines serve.
pub const MODEL: &str = "assistant";

/// Name of the application that all workers serve.
pub const APPLICATION: &str = "yard-desk";

/// Returns the document of the first revision, with the proxy addresses that `side` uses.
///
/// It is built from JSON in the published format, so that fields with a default can be omitted.
pub(super) fn document(
    plan: &Plan,
    links: &Links,
    side: Side,
) -> Result<config::Fleet, serde_json::Error> {
    let engines = plan.engine_ids().into_iter().map(|(index, id)| {
        let mut target = target(plan, links, side, index, id);
        target["kind"] = json!("engine");
        target["models"] = json!([MODEL]);
        target
    });
    let workers = plan.worker_ids().into_iter().map(|(index, id)| {
        let mut target = target(plan, links, side, index, id);
        target["kind"] = json!("application");
        target["application"] = json!(APPLICATION);
        target
    });
    let entries = plan.entry_ids().into_iter().map(|(index, id)| {
        let control = links.address(&Link::Peer(side, id.clone()));
        json!({ "id": id, "zone": plan.zone(index), "control": control })
    });
    let zones = plan.zones().into_iter().map(|id| json!({ "id": id }));
    serde_json::from_value(json!({
        "revision": 1,
        "zones": zones.collect::<Vec<_>>(),
        "models": [{ "id": MODEL, "max_tokens": 1_100_000 }],
        "targets": engines.chain(workers).collect::<Vec<_>>(),
        "entries": entries.collect::<Vec<_>>(),
        "teams": [team()],
        "applications": [application()],
    }))
}

fn target(plan: &Plan, links: &Links, side: Side, index: usize, id: String) -> Value {
    json!({
        "id": id,
        "zone": plan.zone(index),
        "work": links.address(&Link::Work(side, id.clone())),
        "control": links.address(&Link::Control(side, id.clone())),
    })
}

fn team() -> Value {
    json!({
        "id": "local",
        "token_sha256": sha256_hex(TOKEN.as_bytes()),
        "models": [MODEL],
        "applications": [APPLICATION],
        "tokens_per_second": 40_000_000,
        "burst_tokens": 160_000_000,
    })
}

fn application() -> Value {
    json!({
        "id": APPLICATION,
        "routes": [
            { "method": "GET", "path": "/stock", "repeatable": true },
            { "method": "POST", "path": "/orders", "repeatable": false },
        ],
    })
}
