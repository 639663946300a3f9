//! The admission controller of an agent.

use super::{
    cap::{Cap, CapSettings},
    queue::{Queue, QueueSettings, short_memory},
    turn::Turn,
};
use crate::{
    cost::{Cost, LengthClass},
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
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionSettings {
    /// Cap on concurrent requests.
    pub cap: CapSettings,
    /// Bounds on the prefill that waits.
    pub queue: QueueSettings,
}

/// What the target has for new work at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Memory that no lease holds, in tokens.
    pub unleased: Tokens,
    /// All memory, in tokens; 0 for an application.
    pub total: Tokens,
    /// Prefill rate, in tokens a second; 0 for an application.
    pub rate: Tokens,
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
    /// Whether the request has waited so long that it goes before others.
    pub aged: bool,
    /// Whether a lease holds the memory of the work.
    pub leased: bool,
}

/// Decides what a target takes.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    phase: Phase,
    cap: Cap,
    turn: Turn,
    running: BTreeMap<(RequestId, AttemptNumber), Running>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    cost: Cost,
    prefill: bool,
    leased: bool,
}

impl Admission {
    /// Returns the controller of a cold target that does not serve yet.
    pub fn new(settings: AdmissionSettings, now: Instant) -> Self {
        let cap = Cap::new(settings.cap, now);
        Self {
            settings,
            phase: Phase::Starting,
            cap,
            turn: Turn::default(),
            running: BTreeMap::new(),
        }
    }

    /// Sets whether the target takes new work.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Returns whether the target takes new work.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Sets the share of the waiting prefill that prompts over 8,000 tokens may have.
    pub fn set_long_share(&mut self, share: f64) {
        self.settings.queue.long_share = share;
    }

    /// Admits attempt `attempt` of `work`, or says why the target can't take it.
    pub fn admit(
        &mut self,
        work: Work,
        attempt: AttemptNumber,
        room: Room,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.check_phase()?;
        if work.remaining.is_zero() {
            return Err(Refusal::not_run(Reason::DeadlineExceeded));
        }
        let result = self.check_cap().and_then(|()| self.check_room(work, room, now));
        match result {
            Ok(()) => self.turn.admitted(work.request),
            Err(_) if work.aged => self.turn.refused(work.request, now),
            Err(_) => {}
        }
        result?;
        self.running.insert(
            (work.request, attempt),
            Running { cost: work.cost, prefill: true, leased: work.leased },
        );
        Ok(())
    }

    fn check_cap(&self) -> Result<(), Refusal> {
        if self.running.len() as u32 >= self.cap.limit() {
            let reason = if self.cap.is_cold() { Reason::ColdStart } else { Reason::Overloaded };
            return Err(Refusal::not_run(reason).with_retry_after(RETRY_AFTER));
        }
        Ok(())
    }

    fn check_room(&self, work: Work, room: Room, now: Instant) -> Result<(), Refusal> {
        if room.unleased == Tokens::MAX {
            return Ok(());
        }
        let overloaded = Refusal::not_run(Reason::Overloaded).with_retry_after(RETRY_AFTER);
        let queue = self.queue();
        let long = work.cost.class() > LengthClass::Short;
        if long && self.turn.holds_back(work.request, now) {
            return Err(overloaded);
        }
        if !self.settings.queue.takes(work.cost, queue, room.rate) {
            return Err(overloaded);
        }
        let ahead = queue.ahead(work.cost.class()) + work.cost.prompt;
        let time = Cost::prefill_time(ahead, room.rate);
        if room.rate > 0 && time > work.remaining {
            // Another target may be in time, so that the reason has to allow another try.
            return Err(Refusal::not_run(Reason::Overloaded).with_retry_after(RETRY_AFTER));
        }
        let kept = if long { short_memory(room.total) } else { 0 };
        if self.memory() + work.cost.kv_tokens() + kept > room.unleased {
            return Err(Refusal::not_run(Reason::NoMemory).with_retry_after(RETRY_AFTER));
        }
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

    /// Returns the prompts whose prefill has not ended.
    pub fn queue(&self) -> Queue {
        let mut queue = Queue::default();
        for running in self.running.values().filter(|running| running.prefill) {
            queue.add(running.cost);
        }
        queue
    }

    /// Returns the memory that running attempts without a lease may use, in tokens.
    pub fn memory(&self) -> Tokens {
        let unleased = self.running.values().filter(|running| !running.leased);
        unleased.map(|running| running.cost.kv_tokens()).sum()
    }

    /// Returns why the target takes no new work, if it does not.
    pub fn check_phase(&self) -> Result<(), Refusal> {
        match self.phase {
            Phase::Serving => Ok(()),
            Phase::Starting => {
                Err(Refusal::not_run(Reason::NoConfiguration).with_retry_after(RETRY_AFTER))
            }
            Phase::Draining => Err(Refusal::not_run(Reason::ShuttingDown)),
            Phase::OutOfService => Err(Refusal::not_run(Reason::OutOfService)),
        }
    }
}
