//! One incarnation of an agent in the idempotency-key model; it runs the production ledger.

use super::state::{Incarnation, KeyIndex};
use crate::clock::{Step, StepClock};
use fulmarhead_lib::{
    admission::{AdmissionController, AdmissionSettings, Phase},
    ids::Fingerprint,
    keys::{
        Answer, CallDecision, Claim, Dispatched, IdempotencyKey, KeyLedger, KeySettings, Recorded,
    },
    outcome::{Reason, Refusal},
};
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};
use uuid::Builder;

/// Identifier of the only target.
const TARGET_ID: &str = "w1";

/// Fingerprint that all calls share, so that no key is refused for a different request body.
const FINGERPRINT: Fingerprint = [1; 32];

/// Progress of a call whose key an agent has claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Progress {
    /// The ledger has recorded the claim.
    Recorded,
    /// The ledger has recorded that the call is about to be sent.
    Dispatched,
    /// The agent has sent the call.
    Sent,
    /// The call has taken effect.
    Executed,
}

/// A call with an idempotency key.
#[derive(Clone, Debug)]
pub(super) struct Call {
    clock: StepClock,
    index: KeyIndex,
    key: IdempotencyKey,
    issued: Step,
}

impl Call {
    /// Returns the call whose key has index `index` and was issued at step `issued` for
    /// `incarnation`.
    pub(super) fn new(
        clock: StepClock,
        index: KeyIndex,
        incarnation: Incarnation,
        issued: Step,
    ) -> Self {
        let since_epoch =
            clock.wall(issued).duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let id = Builder::from_unix_timestamp_millis(since_epoch.as_millis() as u64, &[index; 10]);
        let (id, target) = (id.into_uuid(), TARGET_ID.to_owned());
        Self { clock, index, key: IdempotencyKey { id, target, incarnation }, issued }
    }

    /// Returns the index of the call's key.
    pub(super) fn index(&self) -> KeyIndex {
        self.index
    }

    /// Returns the same call as if its key had been issued for `incarnation`.
    pub(super) fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.key.incarnation = incarnation;
        self
    }

    /// Returns a claim equal to the one that the agent's ledger granted for the key, and the fresh
    /// ledger that it was obtained from.
    ///
    /// A claim can't be cloned with a state of the model. The model therefore stores only which
    /// claims exist and obtains an equal claim from a fresh ledger.
    fn recorded_claim(&self) -> (Claim<Recorded>, KeyLedger) {
        let (target, incarnation) = (TARGET_ID.to_owned(), self.key.incarnation);
        let settings = KeySettings::default();
        let mut fresh_ledger =
            KeyLedger::new(target, incarnation, settings, self.clock.process_clock(self.issued));
        match fresh_ledger.begin(&self.key, &FINGERPRINT, Ok(()), self.clock.now(self.issued)) {
            CallDecision::Run(claim) => (claim, fresh_ledger),
            CallDecision::Wait | CallDecision::Replay(_) | CallDecision::Refuse(_) => {
                unreachable!("the ledger is empty and the key is new")
            }
        }
    }

    fn dispatched_claim(&self) -> Claim<Dispatched> {
        let (claim, mut fresh_ledger) = self.recorded_claim();
        fresh_ledger.dispatch(claim)
    }
}

/// One incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Agent {
    pub(super) incarnation: Incarnation,
    /// Whether the agent has received a configuration.
    pub(super) configured: bool,
    /// Whether the agent takes its target to be in service.
    pub(super) target_in_service: bool,
    /// Progress of each call whose key the agent has claimed and not settled.
    pub(super) claims: BTreeMap<KeyIndex, Progress>,
    ledger: KeyLedger,
}

impl Agent {
    /// Returns an agent that starts without state and retains keys for two steps of the clock.
    pub(super) fn start(
        clock: &StepClock,
        incarnation: Incarnation,
        capacity: usize,
        start_step: Step,
    ) -> Self {
        let retention: Duration = clock.step_duration() * 2;
        let settings = KeySettings { retention, capacity, ..KeySettings::default() };
        let ledger = KeyLedger::new(
            TARGET_ID.to_owned(),
            incarnation,
            settings,
            clock.process_clock(start_step),
        );
        Self {
            incarnation,
            configured: false,
            target_in_service: true,
            claims: BTreeMap::new(),
            ledger,
        }
    }

    /// Begins a call as the agent's handler does, with a clock reading taken at `step`; returns the
    /// refusal for the caller, if any.
    pub(super) fn begin_call(&mut self, call: &Call, step: Step) -> Option<Refusal> {
        let now = call.clock.now(step);
        let mut admission = AdmissionController::new(AdmissionSettings::default(), now);
        admission.set_phase(if self.target_in_service {
            Phase::Serving
        } else {
            Phase::OutOfService
        });
        let phase_check = admission.check_phase().map_err(|refusal| refusal.reason);
        match self.ledger.begin(&call.key, &FINGERPRINT, phase_check, now) {
            CallDecision::Run(_claim) => {
                self.claims.insert(call.index, Progress::Recorded);
                None
            }
            CallDecision::Wait | CallDecision::Replay(_) => None,
            CallDecision::Refuse(refusal) => Some(refusal),
        }
    }

    /// Returns whether the ledger has no record of the call's key.
    pub(super) fn is_forgotten(&self, call: &Call) -> bool {
        self.ledger.state(call.key.id).is_none()
    }

    /// Replaces the ledger with the empty one of an agent that started at step 0.
    ///
    /// The new ledger has not seen any time yet, so it accepts keys that the old one has already
    /// dropped as expired.
    pub(super) fn reset_ledger(&mut self, clock: &StepClock, capacity: usize) {
        self.ledger = Self::start(clock, self.incarnation, capacity, 0).ledger;
    }

    /// Records in the ledger that the call is about to be sent.
    pub(super) fn record_dispatch(&mut self, call: &Call) {
        let _claim = self.ledger.dispatch(call.recorded_claim().0);
        self.claims.insert(call.index, Progress::Dispatched);
    }

    /// Abandons a claim whose call was not dispatched, and returns the refusal for the caller.
    pub(super) fn abandon(&mut self, call: &Call) -> Refusal {
        self.claims.remove(&call.index);
        self.ledger.abandon(call.recorded_claim().0, Reason::DeadlineExceeded)
    }

    /// Records that a dispatched call was not sent, and returns the refusal for the caller.
    pub(super) fn record_unsent_call(&mut self, call: &Call) -> Refusal {
        self.claims.remove(&call.index);
        self.ledger.record_unsent(call.dispatched_claim(), Reason::TargetFailed)
    }

    /// Records the application's response.
    pub(super) fn record_answer(&mut self, call: &Call) {
        self.claims.remove(&call.index);
        let answer = Answer { status: 200, media_type: String::new(), body: Some([].into()) };
        self.ledger.record_answer(call.dispatched_claim(), answer);
    }

    /// Records that the response was lost, and returns the refusal for the caller.
    pub(super) fn record_lost_response(&mut self, call: &Call) -> Refusal {
        self.claims.remove(&call.index);
        self.ledger.record_lost(call.dispatched_claim())
    }
}
