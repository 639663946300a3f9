//! Observation of a fleet through the interfaces for operators and of targets.

use super::{
    fleet::{Fleet, START_TIMEOUT},
    wait::{ConditionTimeout, eventually, read_json},
};
use bytes::Bytes;
use fulmarhead_lib::{
    ids::{Revision, Tokens},
    lease::Allocation,
};
use fulmarhead_runtime::http::{CallLimits, Endpoint};
use hyper::Method;
use serde::Deserialize;
use serde_json::Value;
use std::time::Duration;

/// Timeout of one request to a readiness probe.
const READ_LIMITS: CallLimits = CallLimits { time: Duration::from_secs(1), bytes: 16 << 20 };

/// Effect of a call, as recorded by an application worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct Effect {
    /// Idempotency key of the call.
    pub key: String,
    /// Body of the call.
    pub body: String,
}

/// State of a target as an entry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedTarget {
    /// Name of the target.
    pub target: String,
    /// Phase of its agent, such as `serving`.
    pub phase: String,
    /// Configuration revision that is active at its agent.
    pub revision: Revision,
    /// Age of the last report that the entry received.
    pub age: Duration,
}

impl Fleet {
    /// Returns the state that an entry or the agent of a target exposes to operators, if it is
    /// reachable.
    pub async fn state(&self, name: &str) -> Option<Value> {
        let address = self.address_of(&format!("{name}/ops"));
        read_json(&self.client, address, "/debug/state").await.ok()
    }

    /// Returns whether an entry or the agent of a target reports that it accepts new work.
    pub async fn is_ready(&self, name: &str) -> bool {
        let endpoint = Endpoint::new(self.address_of(&format!("{name}/ops")), "/readyz");
        self.client.call(Method::GET, &endpoint, Bytes::new(), READ_LIMITS).await.is_ok()
    }

    /// Returns the active revision of an entry or the agent of a target, 0 if it is unreachable.
    pub async fn revision_at(&self, name: &str) -> Revision {
        let state = self.state(name).await;
        state.and_then(|state| state["revision"].as_u64()).unwrap_or(0)
    }

    /// Returns the state of all targets as an entry knows it, empty if the entry is unreachable.
    pub async fn observed_targets(&self, entry: &str) -> Vec<ObservedTarget> {
        let state = self.state(entry).await.unwrap_or_default();
        let targets = state["targets"].as_array().cloned().unwrap_or_default();
        targets.iter().map(parse_target).collect()
    }

    /// Waits until each entry sees each target as serving with the last published revision.
    pub async fn wait_serving(&self) -> Result<(), ConditionTimeout> {
        for (_, entry) in self.plan.entry_ids() {
            self.wait_observed(&entry, self.plan.target_ids().len()).await?;
        }
        Ok(())
    }

    /// Waits until an entry sees `count` targets as serving with the last published revision.
    pub async fn wait_observed(&self, entry: &str, count: usize) -> Result<(), ConditionTimeout> {
        let revision = self.revision();
        let condition = format!("{entry} sees {count} serving targets");
        eventually(&condition, START_TIMEOUT, async || {
            let observed = self.observed_targets(entry).await;
            let serving = observed
                .iter()
                .filter(|target| target.phase == "serving" && target.revision == revision);
            (serving.count() == count).then_some(())
        })
        .await
    }

    /// Waits until `revision` or a later one is active at each of `names`.
    pub async fn wait_revision(
        &self,
        names: &[&str],
        revision: Revision,
    ) -> Result<(), ConditionTimeout> {
        for name in names {
            let condition = format!("{name} has revision {revision}");
            eventually(&condition, START_TIMEOUT, async || {
                (self.revision_at(name).await >= revision).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the effects that all workers have recorded, sorted; panics if one is unreachable.
    pub async fn effects(&self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (_, id) in self.plan.worker_ids() {
            let read = read_json(&self.client, self.address_of(&id), "/effects").await;
            let read =
                read.unwrap_or_else(|error| panic!("failed to read effects of {id}: {error}"));
            let mut read: Vec<Effect> =
                serde_json::from_value(read).expect("response is a list of effects");
            effects.append(&mut read);
        }
        effects.sort();
        effects
    }

    /// Returns the memory that leases hold at an engine, empty if it is unreachable.
    pub async fn allocations(&self, engine: &str) -> Vec<Allocation> {
        let read = read_json(&self.client, self.address_of(engine), "/kv").await;
        let list = read.map(|list| list["allocations"].clone()).unwrap_or_default();
        serde_json::from_value(list).unwrap_or_default()
    }

    /// Waits until all memory of each engine is free, for at most `limit` per engine.
    pub async fn wait_memory_free(&self, limit: Duration) -> Result<(), ConditionTimeout> {
        for (_, id) in self.plan.engine_ids() {
            let condition = format!("all memory of {id} is free");
            eventually(&condition, limit, async || {
                (self.memory_used(&id).await == Some(0)).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    async fn memory_used(&self, engine: &str) -> Option<Tokens> {
        let load = read_json(&self.client, self.address_of(engine), "/load").await.ok()?;
        load["kv_used"].as_u64()
    }
}

fn parse_target(target: &Value) -> ObservedTarget {
    let report = &target["report"];
    let text = |name: &str| report[name].as_str().unwrap_or_default().to_owned();
    ObservedTarget {
        target: text("target"),
        phase: text("phase"),
        revision: report["revision"].as_u64().unwrap_or(0),
        age: Duration::from_millis(target["age_ms"].as_u64().unwrap_or(0)),
    }
}
