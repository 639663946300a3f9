//! The admission controller of an agent.

use super::cap::{Cap, CapSettings};
use crate::{
    cost::Cost,
    ids::{AttemptNumber, RequestId, Tokens},
    outcome::{Reason, Refusal},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use strum::{Display, EnumString};

/// Time after which a refused entry may try the same target again.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Whether a target takes new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The agent has no configuration or has not read its target yet.
    Starting,
    /// The target takes new work.
    Serving,
    /// The target finishes its work and takes no more.
    Draining,
    /// The target or its zone is out of service.
    OutOfService,
}

/// Settings of an admission controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Cap on concurrent requests.
    pub cap: CapSettings,
    /// Share of the running prefill that long prompts may hold, from 0 to 1.
    pub long_share: f64,
    /// Most tokens of prefill that may wait at the target.
    pub max_prefill: Tokens,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { cap: CapSettings::default(), long_share: 0.5, max_prefill: 1_200_000 }
    }
}

/// A piece of work that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Request that the work belongs to.
    pub request: RequestId,
    /// Estimated cost; zero for calls to applications.
    pub cost: Cost,
    /// Remaining time limit.
    pub remaining: Duration,
}

/// Decides what a target takes.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    phase: Phase,
    cap: Cap,
    running: BTreeMap<(RequestId, AttemptNumber), Running>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    cost: Cost,
    prefill: bool,
}

impl Admission {
    /// Returns the controller of a cold target that does not serve yet.
    pub fn new(settings: AdmissionSettings, now: Instant) -> Self {
        let cap = Cap::new(settings.cap, now);
        Self { settings, phase: Phase::Starting, cap, running: BTreeMap::new() }
    }

    /// Sets whether the target takes new work.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Returns whether the target takes new work.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Admits attempt `attempt` of `work`, or says why the target can't take it.
    ///
    /// `unleased` is the memory that no lease holds, in tokens.
    pub fn admit(
        &mut self,
        work: Work,
        attempt: AttemptNumber,
        unleased: Tokens,
    ) -> Result<(), Refusal> {
        self.check_phase()?;
        if work.remaining.is_zero() {
            return Err(Refusal::not_run(Reason::DeadlineExceeded));
        }
        if self.running.len() as u32 >= self.cap.limit() {
            let reason = if self.cap.is_cold() { Reason::ColdStart } else { Reason::Overloaded };
            return Err(Refusal::not_run(reason).after(RETRY_AFTER));
        }
        let queued = self.prefill();
        if queued > 0 && queued + work.cost.prompt > self.settings.max_prefill {
            return Err(Refusal::not_run(Reason::Overloaded).after(RETRY_AFTER));
        }
        if self.memory() + work.cost.kv() > unleased {
            return Err(Refusal::not_run(Reason::NoMemory).after(RETRY_AFTER));
        }
        self.running.insert((work.request, attempt), Running { cost: work.cost, prefill: true });
        Ok(())
    }

    /// Records that the target sent the first token of an attempt.
    pub fn first_token(&mut self, request: RequestId, attempt: AttemptNumber) {
        if let Some(running) = self.running.get_mut(&(request, attempt)) {
            running.prefill = false;
        }
    }

    /// Ends an attempt; `success` says whether the target did its work.
    pub fn end(&mut self, request: RequestId, attempt: AttemptNumber, success: bool, now: Instant) {
        self.running.remove(&(request, attempt));
        if success {
            self.cap.succeed(now);
        }
    }

    /// Records that the target restarted or fails, so that it counts as cold.
    pub fn turned_cold(&mut self, now: Instant) {
        self.cap.reset(now);
    }

    /// Returns how many attempts run.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how many attempts may run at once.
    pub fn limit(&self) -> u32 {
        self.cap.limit()
    }

    /// Returns the tokens of prompts whose prefill has not ended.
    pub fn prefill(&self) -> Tokens {
        self.running
            .values()
            .filter(|running| running.prefill)
            .map(|running| running.cost.prompt)
            .sum()
    }

    /// Returns the memory that running attempts may use, in tokens.
    pub fn memory(&self) -> Tokens {
        self.running.values().map(|running| running.cost.kv()).sum()
    }

    /// Returns why the target takes no new work, if it does not.
    pub fn check_phase(&self) -> Result<(), Refusal> {
        match self.phase {
            Phase::Serving => Ok(()),
            Phase::Starting => Err(Refusal::not_run(Reason::NoConfiguration).after(RETRY_AFTER)),
            Phase::Draining => Err(Refusal::not_run(Reason::ShuttingDown)),
            Phase::OutOfService => Err(Refusal::not_run(Reason::OutOfService)),
        }
    }
}
