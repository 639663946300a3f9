//! Steps of the demo.

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

/// Time within which a configuration has to be active in all processes.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval between checks of the state of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which all processes of the fleet have to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of tokens that each completion generates.
const OUTPUT_TOKENS: u64 = 8;

/// Number of short requests sent while a zone is out of service.
const ZONE_REQUESTS: usize = 20;

/// Runs all steps against `fleet`, whose processes the caller runs at the same time.
///
/// Returns one row per step; a failed step does not end the demo.
pub async fn run(plan: &Plan, fleet: &FleetHandle, clock: SharedClock) -> Vec<Row> {
    let demo = Demo { plan, fleet, clock, caller: Caller::default() };
    let mut rows = vec![demo.wait_started().await];
    rows.push(demo.run_prompt("short prompt, 1,000 tokens", 1_000).await);
    rows.push(demo.run_prompt("long prompt, 120,000 tokens", 120_000).await);
    rows.push(
        demo.run_prompt("prompt over two engines' memory, 1,000,000 tokens", 1_000_000).await,
    );
    rows.push(demo.run_order().await);
    let zone = plan.zones[0].clone();
    rows.push(demo.set_zone_service("zone taken out", 2, &zone, false).await);
    rows.push(demo.check_zone_unused(&zone).await);
    rows.push(demo.set_zone_service("zone taken back", 3, &zone, true).await);
    rows.push(demo.run_prompt("short prompt after the zone's return", 1_000).await);
    rows
}

struct Demo<'a> {
    plan: &'a Plan,
    fleet: &'a FleetHandle,
    clock: SharedClock,
    caller: Caller,
}

impl Demo<'_> {
    async fn wait_started(&self) -> Row {
        let started_at = self.clock.now();
        let ready = timeout(START_TIMEOUT, self.wait_active(1, &[])).await.is_ok();
        self.row(
            "fleet started",
            ready,
            format!("{} processes", self.fleet.ops_addresses.len()),
            started_at,
        )
    }

    /// Sends a prompt and compares the response with the text that an engine generates for it.
    async fn run_prompt(&self, step: &'static str, tokens: u64) -> Row {
        let started_at = self.clock.now();
        let text = prompt_text(tokens);
        match self.complete(0, &text).await {
            Ok(completed) => {
                let passed = completed.text == expected_text(&text)
                    && completed.token_count == OUTPUT_TOKENS;
                let details = format!("{} tokens from {}", completed.token_count, completed.target);
                self.row(step, passed, details, started_at)
            }
            Err(error) => self.row(step, false, error.to_string(), started_at),
        }
    }

    async fn complete(&self, entry_index: usize, prompt: &str) -> Result<Completed, CallError> {
        let address = self.fleet.caller_addresses[entry_index % self.fleet.caller_addresses.len()];
        self.caller.complete(address, &self.plan.model, prompt, OUTPUT_TOKENS).await
    }

    /// Sends one order to two entries with the same idempotency key and checks that it has one
    /// effect.
    async fn run_order(&self) -> Row {
        let started_at = self.clock.now();
        let step = "order sent twice under one key";
        match self.send_order_twice().await {
            Ok((same_response, effects)) => {
                let passed = same_response && effects == 1;
                let details = format!("{effects} effect, same answer: {same_response}");
                self.row(step, passed, details, started_at)
            }
            Err(error) => self.row(step, false, error.to_string(), started_at),
        }
    }

    /// Returns whether both entries gave the same response, and the number of effects.
    async fn send_order_twice(&self) -> Result<(bool, usize), CallError> {
        let application = &self.plan.application;
        let first = self.fleet.caller_addresses[0];
        let last = self.fleet.caller_addresses[self.fleet.caller_addresses.len() - 1];
        let key = self.caller.issue_key(first, application).await?;
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

    /// Publishes a revision that sets whether `zone` is in service, and waits until it is active in
    /// all processes.
    async fn set_zone_service(
        &self,
        step: &'static str,
        revision: Revision,
        zone: &str,
        in_service: bool,
    ) -> Row {
        let started_at = self.clock.now();
        let document = with_zone_service(&self.fleet.document, revision, zone, in_service);
        if let Err(error) = self.fleet.publish(&document) {
            return self.row(step, false, error.to_string(), started_at);
        }
        let excluded: &[ZoneId] = if in_service { &[] } else { &[zone.to_owned()] };
        let passed = timeout(CONFIG_TIMEOUT, self.wait_active(revision, excluded)).await.is_ok();
        self.row(step, passed, format!("{zone}, revision {revision}"), started_at)
    }

    /// Sends short prompts and checks that targets outside `zone` answer all of them.
    async fn check_zone_unused(&self, zone: &str) -> Row {
        let started_at = self.clock.now();
        let step = "requests while the zone is out";
        let text = prompt_text(1_000);
        let mut elsewhere = 0;
        for index in 0..ZONE_REQUESTS {
            let Ok(completed) = self.complete(index, &text).await else { continue };
            let target = self.fleet.document.target(&completed.target);
            let outside = target.is_some_and(|target| target.zone != zone);
            elsewhere += usize::from(outside && completed.text == expected_text(&text));
        }
        let passed = elsewhere == ZONE_REQUESTS;
        self.row(step, passed, format!("{elsewhere} of {ZONE_REQUESTS} elsewhere"), started_at)
    }

    /// Waits until all processes have `revision`, all targets outside the zones `excluded` are
    /// serving, and all entries have reports of that state.
    async fn wait_active(&self, revision: Revision, excluded: &[ZoneId]) {
        while !self.is_active(revision, excluded).await {
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn is_active(&self, revision: Revision, excluded: &[ZoneId]) -> bool {
        for &address in &self.fleet.ops_addresses {
            let Ok(state) = self.caller.debug_state(address).await else { return false };
            if state["revision"] != revision {
                return false;
            }
            if state["process"] == "agent" && !self.has_expected_phase(&state, excluded) {
                return false;
            }
            if state["process"] == "entry" && !self.has_expected_reports(&state, excluded) {
                return false;
            }
        }
        true
    }

    /// Returns whether an agent reports the phase that its target must have.
    fn has_expected_phase(&self, state: &serde_json::Value, excluded: &[ZoneId]) -> bool {
        let target = state["target"].as_str().and_then(|id| self.fleet.document.target(id));
        let expected = match target {
            Some(target) if excluded.contains(&target.zone) => "out_of_service",
            _ => "serving",
        };
        state["report"]["phase"] == expected
    }

    /// Returns whether an entry has reports of all targets, with the phases that they must have.
    fn has_expected_reports(&self, state: &serde_json::Value, excluded: &[ZoneId]) -> bool {
        let reports = state["targets"].as_array();
        let reports = reports.map_or(&[][..], Vec::as_slice);
        let is_expected = |known: &serde_json::Value| {
            let target = known["report"]["target"].as_str();
            let target = target.and_then(|id| self.fleet.document.target(id));
            let is_excluded = target.is_some_and(|target| excluded.contains(&target.zone));
            (known["report"]["phase"] == "serving") != is_excluded
        };
        reports.len() == self.fleet.document.targets.len() && reports.iter().all(is_expected)
    }

    fn row(&self, step: &'static str, passed: bool, details: String, started_at: Instant) -> Row {
        let duration = self.clock.now().saturating_duration_since(started_at);
        Row { step, passed, details, duration }
    }
}

/// Returns a prompt of `tokens` tokens.
fn prompt_text(tokens: u64) -> String {
    let line = "quote for a deck of beams in the oak at the lake ";
    let bytes = (tokens * BYTES_PER_TOKEN) as usize;
    line.chars().cycle().take(bytes).collect()
}

/// Returns the text that an engine generates for `prompt`.
fn expected_text(prompt: &str) -> String {
    let state = prompt_state(None, prompt);
    (0..OUTPUT_TOKENS).map(|position| token(state, position)).collect()
}

/// Returns `fleet` with another revision and with `zone` in or out of service.
fn with_zone_service(fleet: &Fleet, revision: Revision, zone: &str, in_service: bool) -> Fleet {
    let mut fleet = fleet.clone();
    fleet.revision = revision;
    for matching in fleet.zones.iter_mut().filter(|known| known.id == zone) {
        matching.in_service = in_service;
    }
    fleet
}
