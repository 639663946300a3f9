//! What operators and targets show of a fleet.

use super::{
    fleet::{Fleet, START_LIMIT},
    wait::{Expired, eventually, read_json},
};
use bytes::Bytes;
use fulmarhead_lib::{
    ids::{Revision, Tokens},
    lease::Allocation,
};
use fulmarhead_runtime::http::Endpoint;
use hyper::Method;
use serde::Deserialize;
use serde_json::Value;
use std::time::Duration;

/// Longest time for one look at a readiness probe.
const READ_LIMIT: Duration = Duration::from_secs(1);

/// One effect that an application worker has recorded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct Effect {
    /// Idempotency key of the call.
    pub key: String,
    /// Body of the call.
    pub body: String,
}

/// What a target is, as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Name of the target.
    pub target: String,
    /// Phase of its agent, such as `serving`.
    pub phase: String,
    /// Revision in force at its agent.
    pub revision: Revision,
    /// Age of the last report.
    pub age: Duration,
}

impl Fleet {
    /// Returns the state that an entry or the agent of a target shows to operators.
    pub async fn state(&self, name: &str) -> Option<Value> {
        let address = self.place(&format!("{name}/ops"));
        read_json(&self.client, address, "/debug/state").await.ok()
    }

    /// Returns whether an entry or the agent of a target says that it takes new work.
    pub async fn is_ready(&self, name: &str) -> bool {
        let endpoint = Endpoint::new(self.place(&format!("{name}/ops")), "/readyz");
        self.client.call(Method::GET, &endpoint, Bytes::new(), READ_LIMIT).await.is_ok()
    }

    /// Returns the revision in force at an entry or the agent of a target, 0 if it can't be asked.
    pub async fn revision_at(&self, name: &str) -> Revision {
        let state = self.state(name).await;
        state.and_then(|state| state["revision"].as_u64()).unwrap_or(0)
    }

    /// Returns what an entry knows of the targets.
    pub async fn seen_by(&self, entry: &str) -> Vec<Seen> {
        let state = self.state(entry).await.unwrap_or_default();
        let targets = state["targets"].as_array().cloned().unwrap_or_default();
        targets.iter().map(seen).collect()
    }

    /// Waits until each entry knows that each target serves under the last revision.
    pub async fn wait_serving(&self) -> Result<(), Expired> {
        for (_, entry) in self.plan.entry_ids() {
            self.wait_seen(&entry, self.plan.target_ids().len()).await?;
        }
        Ok(())
    }

    /// Waits until an entry knows of `count` targets that serve under the last revision.
    pub async fn wait_seen(&self, entry: &str, count: usize) -> Result<(), Expired> {
        let revision = self.revision();
        let what = format!("{entry} sees {count} targets that serve");
        eventually(&what, START_LIMIT, async || {
            let seen = self.seen_by(entry).await;
            let serving = seen.iter().filter(|s| s.phase == "serving" && s.revision == revision);
            (serving.count() == count).then_some(())
        })
        .await
    }

    /// Waits until `revision` or a later one is in force at each of `names`.
    pub async fn wait_revision(&self, names: &[&str], revision: Revision) -> Result<(), Expired> {
        for name in names {
            let what = format!("{name} has revision {revision}");
            eventually(&what, START_LIMIT, async || {
                (self.revision_at(name).await >= revision).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the effects that all workers have recorded, in ascending order.
    pub async fn effects(&self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (_, id) in self.plan.worker_ids() {
            let read = read_json(&self.client, self.place(&id), "/effects").await;
            let read = read.unwrap_or_else(|error| panic!("effects of {id}: {error}"));
            let mut read: Vec<Effect> = serde_json::from_value(read).expect("a list of effects");
            effects.append(&mut read);
        }
        effects.sort();
        effects
    }

    /// Returns the memory that leases hold at an engine.
    pub async fn allocations(&self, engine: &str) -> Vec<Allocation> {
        let read = read_json(&self.client, self.place(engine), "/kv").await;
        let list = read.map(|list| list["allocations"].clone()).unwrap_or_default();
        serde_json::from_value(list).unwrap_or_default()
    }

    /// Waits until no memory of any engine is in use, at most for `limit`.
    pub async fn wait_memory_free(&self, limit: Duration) -> Result<(), Expired> {
        for (_, id) in self.plan.engine_ids() {
            let what = format!("memory of {id} is free");
            eventually(&what, limit, async || {
                (self.memory_used(&id).await == Some(0)).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    async fn memory_used(&self, engine: &str) -> Option<Tokens> {
        let load = read_json(&self.client, self.place(engine), "/load").await.ok()?;
        load["kv_used"].as_u64()
    }
}

fn seen(target: &Value) -> Seen {
    let report = &target["report"];
    let text = |name: &str| report[name].as_str().unwrap_or_default().to_owned();
    Seen {
        target: text("target"),
        phase: text("phase"),
        revision: report["revision"].as_u64().unwrap_or(0),
        age: Duration::from_millis(target["age_ms"].as_u64().unwrap_or(0)),
    }
}
