//! The admission controller of an agent, which limits concurrent attempts, queued prefill and
//! memory.

use super::{
    cap::{Cap, CapSettings},
    queue::{PrefillQueue, QueueSettings, short_prompt_reserve},
    turn::AgedTurn,
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

/// Time after which an entry may retry a refused request at the same target.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Whether a target accepts new work, and if not, why.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The agent has no configuration or has not read its target yet.
    Starting,
    /// The target accepts new work.
    Serving,
    /// The target finishes its running work or is being changed, or its agent is stopping; it
    /// accepts no new work.
    Draining,
    /// The target or its zone is out of service.
    OutOfService,
}

/// Settings of an [`AdmissionController`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionSettings {
    /// Limit on concurrent attempts and its growth.
    pub cap: CapSettings,
    /// Limits on waiting prefill.
    pub queue: QueueSettings,
}

/// Current capacity of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetCapacity {
    /// Memory not held by leases, in tokens; `Tokens::MAX` if the target has no engine memory.
    pub unleased: Tokens,
    /// Total memory, in tokens; 0 for an application.
    pub total: Tokens,
    /// Prefill rate, in tokens per second; 0 for an application or if unknown.
    pub rate: Tokens,
}

/// A piece of work to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Request that the work belongs to.
    pub request: RequestId,
    /// Estimated cost; zero for calls to applications.
    pub cost: Cost,
    /// Remaining time limit.
    pub remaining: Duration,
    /// Whether the request has waited so long that it takes precedence over newer ones.
    pub aged: bool,
    /// Whether the memory for the work is reserved by a lease.
    pub leased: bool,
}

/// Decides which work a target accepts, and tracks the running attempts.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    phase: Phase,
    cap: Cap,
    turn: AgedTurn,
    running: BTreeMap<(RequestId, AttemptNumber), RunningAttempt>,
}

#[derive(Clone, Copy, Debug)]
struct RunningAttempt {
    cost: Cost,
    in_prefill: bool,
    leased: bool,
}

impl AdmissionController {
    /// Creates the controller of a cold target in phase [`Phase::Starting`].
    pub fn new(settings: AdmissionSettings, now: Instant) -> Self {
        let cap = Cap::new(settings.cap, now);
        Self {
            settings,
            phase: Phase::Starting,
            cap,
            turn: AgedTurn::default(),
            running: BTreeMap::new(),
        }
    }

    /// Sets the phase, which determines whether new work is accepted.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Sets [`QueueSettings::long_share`], the fraction of the limit on waiting prefill that medium
    /// prompts and long prompts may each use.
    pub fn set_long_share(&mut self, long_share: f64) {
        self.settings.queue.long_share = long_share;
    }

    /// Admits attempt `attempt` of `work`.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the reason if the target cannot accept the work now.
    pub fn admit(
        &mut self,
        work: Work,
        attempt: AttemptNumber,
        capacity: TargetCapacity,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.check_phase()?;
        if work.remaining.is_zero() {
            return Err(Refusal::not_run(Reason::DeadlineExceeded));
        }
        let result = self.check_cap().and_then(|()| self.check_capacity(work, capacity, now));
        match result {
            Ok(()) => self.turn.record_admission(work.request),
            Err(_) if work.aged => self.turn.record_refusal(work.request, now),
            Err(_) => {}
        }
        result?;
        self.running.insert(
            (work.request, attempt),
            RunningAttempt { cost: work.cost, in_prefill: true, leased: work.leased },
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

    fn check_capacity(
        &self,
        work: Work,
        capacity: TargetCapacity,
        now: Instant,
    ) -> Result<(), Refusal> {
        // An application has neither engine memory nor prefill, so only the cap applies.
        if capacity.unleased == Tokens::MAX {
            return Ok(());
        }
        let overloaded = Refusal::not_run(Reason::Overloaded).with_retry_after(RETRY_AFTER);
        let queue = self.queue();
        let is_medium_or_long = work.cost.class() > LengthClass::Short;
        if is_medium_or_long && self.turn.must_wait(work.request, now) {
            return Err(overloaded);
        }
        if !self.settings.queue.accepts(work.cost, queue, capacity.rate) {
            return Err(overloaded);
        }
        let ahead = queue.tokens_ahead(work.cost.class()) + work.cost.prompt;
        let prefill_time = Cost::prefill_time(ahead, capacity.rate);
        if capacity.rate > 0 && prefill_time > work.remaining {
            // Another target may meet the deadline, so the reason must permit a retry there.
            return Err(Refusal::not_run(Reason::Overloaded).with_retry_after(RETRY_AFTER));
        }
        let short_reserve =
            if is_medium_or_long { short_prompt_reserve(capacity.total) } else { 0 };
        if self.unleased_usage() + work.cost.kv_tokens() + short_reserve > capacity.unleased {
            return Err(Refusal::not_run(Reason::NoMemory).with_retry_after(RETRY_AFTER));
        }
        Ok(())
    }

    /// Records that the target sent the first token of an attempt.
    pub fn record_first_token(&mut self, request: RequestId, attempt: AttemptNumber) {
        if let Some(running) = self.running.get_mut(&(request, attempt)) {
            running.in_prefill = false;
        }
    }

    /// Removes an attempt that has ended.
    ///
    /// An attempt with `success`, which the target completed, counts towards the growth of the
    /// concurrency limit.
    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        success: bool,
        now: Instant,
    ) {
        self.running.remove(&(request, attempt));
        if success {
            self.cap.record_success(now);
        }
    }

    /// Resets the concurrency limit to that of a cold target, after a restart or failure.
    pub fn reset_cap(&mut self, now: Instant) {
        self.cap.reset(now);
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the maximum number of concurrent attempts.
    pub fn limit(&self) -> u32 {
        self.cap.limit()
    }

    /// Returns the prefill of the running attempts that have not produced a first token.
    pub fn queue(&self) -> PrefillQueue {
        let mut queue = PrefillQueue::default();
        for attempt in self.running.values().filter(|attempt| attempt.in_prefill) {
            queue.add(attempt.cost);
        }
        queue
    }

    /// Returns the memory that running attempts without a lease may use in total, in tokens.
    pub fn unleased_usage(&self) -> Tokens {
        let unleased = self.running.values().filter(|attempt| !attempt.leased);
        unleased.map(|attempt| attempt.cost.kv_tokens()).sum()
    }

    /// Checks that the target accepts new work in its current phase.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the reason if it does not.
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
