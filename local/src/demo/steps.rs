//! The steps of the demo.

use super::{
    client::{CallError, Caller, Completed},
    table::Row,
};
use crate::{fleet::FleetHandle, plan::Plan};
use fulmarhead_lib::{
    clock::SharedClock,
    config::Fleet,
    cost::BYTES_PER_TOKEN,
    ids::{Revision, ZoneId},
};
use hyper::Method;
use standins::engine::{prompt_state, token};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// Time in which a configuration has to be in force everywhere.
const CONFIG_BOUND: Duration = Duration::from_secs(4);

/// Time between two looks at the state of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for the fleet to start.
const START_BOUND: Duration = Duration::from_secs(10);

/// Tokens that each prompt asks for.
const OUTPUT_TOKENS: u64 = 8;

/// Short requests that are sent while a zone is out.
const ZONE_REQUESTS: usize = 20;

/// Runs all steps against a fleet that has started.
pub async fn run(plan: &Plan, fleet: &FleetHandle, clock: SharedClock) -> Vec<Row> {
    let demo = Demo { plan, fleet, clock, caller: Caller::default() };
    let mut rows = vec![demo.start().await];
    rows.push(demo.prompt("short prompt, 1,000 tokens", 1_000).await);
    rows.push(demo.prompt("long prompt, 120,000 tokens", 120_000).await);
    rows.push(demo.prompt("prompt over two engines' memory, 1,000,000 tokens", 1_000_000).await);
    rows.push(demo.order().await);
    let zone = plan.zones[0].clone();
    rows.push(demo.switch_zone("zone taken out", 2, &zone, false).await);
    rows.push(demo.avoid_zone(&zone).await);
    rows.push(demo.switch_zone("zone taken back", 3, &zone, true).await);
    rows.push(demo.prompt("short prompt after the zone's return", 1_000).await);
    rows
}

struct Demo<'a> {
    plan: &'a Plan,
    fleet: &'a FleetHandle,
    clock: SharedClock,
    caller: Caller,
}

impl Demo<'_> {
    async fn start(&self) -> Row {
        let began = self.clock.now();
        let ready = timeout(START_BOUND, self.wait_for(1, &[])).await.is_ok();
        self.row("fleet started", ready, format!("{} processes", self.fleet.ops.len()), began)
    }

    /// Sends a prompt and compares the answer with what an engine has to generate for it.
    async fn prompt(&self, step: &'static str, tokens: u64) -> Row {
        let began = self.clock.now();
        let text = prompt_text(tokens);
        match self.complete(0, &text).await {
            Ok(done) => {
                let passed = done.text == expected(&text) && done.length == OUTPUT_TOKENS;
                let seen = format!("{} tokens from {}", done.length, done.target);
                self.row(step, passed, seen, began)
            }
            Err(error) => self.row(step, false, error.to_string(), began),
        }
    }

    async fn complete(&self, entry: usize, text: &str) -> Result<Completed, CallError> {
        let address = self.fleet.callers[entry % self.fleet.callers.len()];
        self.caller.complete(address, &self.plan.model, text, OUTPUT_TOKENS).await
    }

    /// Sends one order at two entries under one key.
    async fn order(&self) -> Row {
        let began = self.clock.now();
        let step = "order sent twice under one key";
        match self.send_order_twice().await {
            Ok((same, effects)) => {
                let passed = same && effects == 1;
                let seen = format!("{effects} effect, same answer: {same}");
                self.row(step, passed, seen, began)
            }
            Err(error) => self.row(step, false, error.to_string(), began),
        }
    }

    async fn send_order_twice(&self) -> Result<(bool, usize), CallError> {
        let application = &self.plan.application;
        let first = self.fleet.callers[0];
        let last = self.fleet.callers[self.fleet.callers.len() - 1];
        let key = self.caller.key(first, application).await?;
        let path = format!("/apps/{application}/orders");
        let body = r#"{"beams":12}"#;
        let send = |entry: SocketAddr| {
            self.caller.call(entry, Method::POST, &path, Some(&key), body.into())
        };
        let (one, two) = tokio::join!(send(first), send(last));
        let effects = self.fleet.workers.iter().flat_map(|worker| worker.effects());
        let effects = effects.filter(|effect| effect.key == key).count();
        Ok((one? == two?, effects))
    }

    /// Publishes a revision and waits until it is in force everywhere.
    async fn switch_zone(
        &self,
        step: &'static str,
        revision: Revision,
        zone: &str,
        in_service: bool,
    ) -> Row {
        let began = self.clock.now();
        let document = with_zone(&self.fleet.document, revision, zone, in_service);
        if let Err(error) = self.fleet.publish(&document) {
            return self.row(step, false, error.to_string(), began);
        }
        let out: &[ZoneId] = if in_service { &[] } else { &[zone.to_owned()] };
        let passed = timeout(CONFIG_BOUND, self.wait_for(revision, out)).await.is_ok();
        self.row(step, passed, format!("{zone}, revision {revision}"), began)
    }

    /// Sends short prompts and checks that no target of the zone answers.
    async fn avoid_zone(&self, zone: &str) -> Row {
        let began = self.clock.now();
        let step = "requests while the zone is out";
        let text = prompt_text(1_000);
        let mut elsewhere = 0;
        for index in 0..ZONE_REQUESTS {
            let Ok(done) = self.complete(index, &text).await else { continue };
            let target = self.fleet.document.target(&done.target);
            let outside = target.is_some_and(|target| target.zone != zone);
            elsewhere += usize::from(outside && done.text == expected(&text));
        }
        let passed = elsewhere == ZONE_REQUESTS;
        self.row(step, passed, format!("{elsewhere} of {ZONE_REQUESTS} elsewhere"), began)
    }

    /// Waits until all processes have `revision` and all targets outside `out` take work.
    async fn wait_for(&self, revision: Revision, out: &[ZoneId]) {
        while !self.is_in_force(revision, out).await {
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn is_in_force(&self, revision: Revision, out: &[ZoneId]) -> bool {
        for &address in &self.fleet.ops {
            let Ok(state) = self.caller.dump(address).await else { return false };
            if state["revision"] != revision {
                return false;
            }
            if state["process"] == "agent" && !self.has_phase(&state, out) {
                return false;
            }
            if state["process"] == "entry" && !self.sees_all(&state, out) {
                return false;
            }
        }
        true
    }

    fn has_phase(&self, state: &serde_json::Value, out: &[ZoneId]) -> bool {
        let target = state["target"].as_str().and_then(|id| self.fleet.document.target(id));
        let expected = match target {
            Some(target) if out.contains(&target.zone) => "out_of_service",
            _ => "serving",
        };
        state["report"]["phase"] == expected
    }

    fn sees_all(&self, state: &serde_json::Value, out: &[ZoneId]) -> bool {
        let reports = state["targets"].as_array();
        let reports = reports.map_or(&[][..], Vec::as_slice);
        let agree = |seen: &serde_json::Value| {
            let target = seen["report"]["target"].as_str();
            let target = target.and_then(|id| self.fleet.document.target(id));
            let is_out = target.is_some_and(|target| out.contains(&target.zone));
            (seen["report"]["phase"] == "serving") != is_out
        };
        reports.len() == self.fleet.document.targets.len() && reports.iter().all(agree)
    }

    fn row(&self, step: &'static str, passed: bool, seen: String, began: Instant) -> Row {
        let took = self.clock.now().saturating_duration_since(began);
        Row { step, passed, seen, took }
    }
}

/// Returns a prompt of `tokens` tokens.
fn prompt_text(tokens: u64) -> String {
    let line = "quote for a deck of beams in the oak at the lake ";
    let bytes = (tokens * BYTES_PER_TOKEN) as usize;
    line.chars().cycle().take(bytes).collect()
}

/// Returns the text that an engine generates for a prompt.
fn expected(prompt: &str) -> String {
    let state = prompt_state(None, prompt);
    (0..OUTPUT_TOKENS).map(|position| token(state, position)).collect()
}

fn with_zone(fleet: &Fleet, revision: Revision, zone: &str, in_service: bool) -> Fleet {
    let mut fleet = fleet.clone();
    fleet.revision = revision;
    for known in fleet.zones.iter_mut().filter(|known| known.id == zone) {
        known.in_service = in_service;
    }
    fleet
}
